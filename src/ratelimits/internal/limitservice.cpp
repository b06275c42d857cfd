#include "ratelimits/limitservice.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <fmt/format.h>

namespace geraniumlift::ratelimits {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Time after which a request for a permit counts as lost. An answer within the region takes a few
/// milliseconds.
constexpr auto ReplyTimeout = milliseconds(60);

constexpr auto ReportInterval = milliseconds(1000);

} // namespace

LimitService::LimitService(std::string Router, ILimitLink &Link, base::ITimers &Timers,
                           const base::IClock &Clock, base::IEventLog &Log)
    : m_Router(std::move(Router)), m_Link(Link), m_Timers(Timers), m_Clock(Clock),
      m_Log(Log), m_Routers{m_Router} {}

auto LimitService::maySend(TargetKey Target) const -> bool {
  return !m_Table.limitOf(Target) || m_Pool.has(Target, now());
}

auto LimitService::retryAfter(TargetKey Target) const -> std::optional<milliseconds> {
  const auto Found = m_RefusedUntil.find(Target);
  if (Found == m_RefusedUntil.end() || Found->second <= now()) {
    return std::nullopt;
  }
  return std::max(milliseconds(1), duration_cast<milliseconds>(Found->second - now()));
}

auto LimitService::onSend(TargetKey Target) -> void {
  if (m_Table.limitOf(Target)) {
    m_Pool.take(Target, now());
  }
}

auto LimitService::onAnswer(TargetKey Target, std::optional<double> PerSecond) -> void {
  if (addStatement(Target, {PerSecond, now()})) {
    m_Link.publish({m_Router, {m_Table.toReport(Target, now())}});
  }
}

auto LimitService::addStatement(TargetKey Target, const LimitStatement &Statement) -> bool {
  const auto Before = m_Table.limitOf(Target);
  if (!m_Table.add(Target, Statement)) {
    return false;
  }
  m_RefusedUntil.erase(Target);
  m_Log.record(base::LogLevel::Info, "target_limit_changed",
               {{"target", fmt::format("{:016x}", Target)},
                {"per_second",
                 Statement.m_PerSecond ? fmt::format("{:.2f}", *Statement.m_PerSecond) : "none"},
                {"before", Before ? fmt::format("{:.2f}", *Before) : "none"},
                {"age_ms", duration_cast<milliseconds>(now() - Statement.m_StatedAt).count()}});
  return true;
}

auto LimitService::keeperOf(TargetKey Target) -> const std::string & {
  const auto [Found, IsNew] = m_Keepers.try_emplace(Target);
  if (IsNew) {
    const auto Key = std::to_string(Target);
    Found->second = *std::max_element(m_Routers.begin(), m_Routers.end(),
                                      [&Key](const std::string &Left, const std::string &Right) {
                                        return base::rendezvousRank(Key, Left) <
                                               base::rendezvousRank(Key, Right);
                                      });
  }
  return Found->second;
}

auto LimitService::setRouters(const std::set<std::string> &Routers) -> void {
  if (Routers != m_Routers && !Routers.empty()) {
    m_Routers = Routers;
    m_Keepers.clear();
  }
}

auto LimitService::decide(TargetKey Target) -> PermitDecision {
  const auto Limit = m_Table.limitOf(Target);
  return Limit ? m_Issuer.request(Target, *Limit, now()) : PermitDecision{true};
}

auto LimitService::requestPermit(TargetKey Target, std::function<void(PermitOutcome)> Done)
    -> void {
  const auto Id = ++m_LastRequestId;
  auto &Pending = m_Pending[Id];
  Pending.m_Target = Target;
  Pending.m_Done = std::move(Done);
  const auto &Keeper = keeperOf(Target);
  if (Keeper == m_Router) {
    Pending.m_Timer = m_Timers.start(now(), [this, Id, Target] {
      const auto Decision = decide(Target);
      finishRequest(Id, {Decision.m_IsGranted, Decision.m_RetryAfter});
    });
    return;
  }
  Pending.m_Timer = m_Timers.start(now() + ReplyTimeout, [this, Id] { finishRequest(Id, {}); });
  m_Link.send(Keeper, PermitRequest{m_Router, Id, m_Table.toReport(Target, now())});
}

auto LimitService::finishRequest(std::uint32_t Id, const PermitOutcome &Outcome) -> void {
  auto Item = m_Pending.extract(Id);
  if (Item.empty()) {
    return;
  }
  m_Timers.cancel(Item.mapped().m_Timer);
  const auto Target = Item.mapped().m_Target;
  if (Outcome.m_IsGranted) {
    m_Pool.add(Target, now());
  } else if (Outcome.m_RetryAfter > milliseconds(0)) {
    m_RefusedUntil[Target] = now() + Outcome.m_RetryAfter;
  }
  if (Item.mapped().m_Done) {
    Item.mapped().m_Done(Outcome);
  }
}

auto LimitService::onMessage(const LimitMessage &Message) -> LimitUpdate {
  if (const auto *Update = std::get_if<LimitUpdate>(&Message)) {
    return onUpdate(*Update);
  }
  if (const auto *Request = std::get_if<PermitRequest>(&Message)) {
    onPermitRequest(*Request);
  } else {
    onPermitReply(std::get<PermitReply>(Message));
  }
  return {};
}

auto LimitService::onUpdate(const LimitUpdate &Update) -> LimitUpdate {
  auto New = LimitUpdate{m_Router, {}};
  for (const auto &Item : Update.m_Limits) {
    if (addStatement(Item.m_Target, LimitTable::fromReport(Item, now()))) {
      New.m_Limits.push_back(Item);
    }
  }
  return New;
}

auto LimitService::onPermitRequest(const PermitRequest &Request) -> void {
  const auto Target = Request.m_Limit.m_Target;
  addStatement(Target, LimitTable::fromReport(Request.m_Limit, now()));
  auto Reply = PermitReply();
  Reply.m_Id = Request.m_Id;
  // Only one router gives out permits; an asker whose view of the fleet differs has to wait until
  // the views agree.
  if (keeperOf(Target) == m_Router) {
    const auto Decision = decide(Target);
    Reply.m_IsGranted = Decision.m_IsGranted;
    Reply.m_RetryAfterMs = static_cast<std::uint32_t>(Decision.m_RetryAfter.count());
  }
  Reply.m_Limit = m_Table.toReport(Target, now());
  m_Link.send(Request.m_Router, Reply);
}

auto LimitService::onPermitReply(const PermitReply &Reply) -> void {
  addStatement(Reply.m_Limit.m_Target, LimitTable::fromReport(Reply.m_Limit, now()));
  finishRequest(Reply.m_Id, {Reply.m_IsGranted, milliseconds(Reply.m_RetryAfterMs)});
}

auto LimitService::advance() -> void {
  m_Pool.removeExpired(now());
  if (now() - m_LastReport < ReportInterval) {
    return;
  }
  m_LastReport = now();
  m_Table.removeExpired(now());
  m_Issuer.removeExpired(now());
  absl::erase_if(m_RefusedUntil, [this](const auto &Item) { return Item.second <= now(); });
  auto Update = LimitUpdate{m_Router, m_Table.reportAll(now())};
  if (!Update.m_Limits.empty()) {
    m_Link.publish(Update);
  }
}

} // namespace geraniumlift::ratelimits
