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

/// Wait that is told while this router is out of contact with the fleet.
constexpr auto OutOfContactWait = milliseconds(500);

constexpr auto Thousand = 1000.0;

auto toThousandths(double Value) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::clamp(Value * Thousand, 0.0, 4e9));
}

} // namespace

LimitService::LimitService(std::string Router, ILimitLink &Link, base::ITimers &Timers,
                           const base::IClock &Clock, base::IEventLog &Log)
    : m_Router(std::move(Router)), m_Link(Link), m_Timers(Timers), m_Clock(Clock),
      m_Log(Log), m_Routers{m_Router} {}

auto LimitService::maySend(TargetKey Target) const -> bool {
  if (isCold(Target)) {
    return m_IsInContact && m_Pool.has(Target, now());
  }
  return !needsPermit(Target) || m_Pool.has(Target, now());
}

auto LimitService::findCold(TargetKey Target) const -> const ColdAllowance * {
  const auto Found = m_Cold.find(Target);
  return Found == m_Cold.end() || Found->second.m_Until <= now() ? nullptr : &Found->second;
}

auto LimitService::isCold(TargetKey Target) const -> bool { return findCold(Target) != nullptr; }

auto LimitService::coldTargets() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(m_Cold.begin(), m_Cold.end(),
                    [this](const auto &Item) { return Item.second.m_Until > now(); }));
}

auto LimitService::setCold(TargetKey Target, const ColdAllowance &Allowance) -> void {
  auto &Known = m_Cold[Target];
  if (Allowance.m_Until < Known.m_Until) {
    return;
  }
  const auto WasCold = Known.m_Until > now();
  Known = Allowance;
  if (!WasCold && Allowance.m_Until > now()) {
    m_Log.record(base::LogLevel::Info, "target_cold",
                 {{"target", fmt::format("{:016x}", Target)},
                  {"per_second", fmt::format("{:.2f}", Allowance.m_PerSecond)},
                  {"burst", fmt::format("{:.2f}", Allowance.m_Burst)},
                  {"left_ms", duration_cast<milliseconds>(Allowance.m_Until - now()).count()}});
  }
}

auto LimitService::reportCold(TargetKey Target) const -> ReportedCold {
  const auto *Cold = findCold(Target);
  if (Cold == nullptr) {
    return {};
  }
  return {toThousandths(Cold->m_PerSecond), toThousandths(Cold->m_Burst),
          static_cast<std::uint32_t>(duration_cast<milliseconds>(Cold->m_Until - now()).count())};
}

auto LimitService::applyReportedCold(TargetKey Target, const ReportedCold &Item) -> void {
  if (Item.m_LeftMs > 0 && !isCold(Target)) {
    setCold(Target, {Item.m_PerThousandSeconds / Thousand, Item.m_ThousandthsOfBurst / Thousand,
                     now() + milliseconds(Item.m_LeftMs)});
  }
}

auto LimitService::retryAfter(TargetKey Target) const -> std::optional<milliseconds> {
  if (!m_IsInContact && isCold(Target)) {
    return OutOfContactWait;
  }
  const auto Found = m_RefusedUntil.find(Target);
  if (Found == m_RefusedUntil.end() || Found->second <= now()) {
    return std::nullopt;
  }
  return std::max(milliseconds(1), duration_cast<milliseconds>(Found->second - now()));
}

auto LimitService::onSend(TargetKey Target) -> void {
  if (needsPermit(Target)) {
    m_Pool.take(Target, now());
  }
}

auto LimitService::onAnswer(TargetKey Target, const TargetNeeds &Needs) -> void {
  auto Update = LimitUpdate{m_Router, {}};
  if (addStatement(Target, {Needs.m_PerSecond, now()})) {
    Update.m_Limits.push_back(m_Table.toReport(Target, now()));
  }
  if (addBrittleness(Target, {Needs.m_MaxRejections, now()})) {
    Update.m_Brittle.push_back(m_Brittle.toReport(Target, now()));
  }
  if (!Update.isEmpty()) {
    m_Link.publish(Update);
  }
}

auto LimitService::onOutcome(TargetKey Target, bool IsRejected) -> void {
  if (!isBrittle(Target)) {
    return;
  }
  const auto &Keeper = keeperOf(Target);
  if (Keeper == m_Router) {
    m_Rejections.onOutcome(Target, IsRejected, now());
  } else {
    m_Link.send(Keeper, OutcomeReport{Target, IsRejected});
  }
}

auto LimitService::inheritBrittleness(TargetKey New, TargetKey Sibling) -> void {
  const auto Known = m_Brittle.toReport(Sibling, now());
  if (isBrittle(Sibling) && !isBrittle(New)) {
    addBrittleness(New, LimitTable::fromReport(Known, now()));
  }
}

auto LimitService::addBrittleness(TargetKey Target, const LimitStatement &Statement) -> bool {
  if (!m_Brittle.add(Target, Statement)) {
    return false;
  }
  m_RefusedUntil.erase(Target);
  m_Log.record(base::LogLevel::Info, "target_brittleness_changed",
               {{"target", fmt::format("{:016x}", Target)},
                {"max_rejections",
                 Statement.m_PerSecond ? fmt::format("{:.2f}", *Statement.m_PerSecond) : "none"},
                {"age_ms", duration_cast<milliseconds>(now() - Statement.m_StatedAt).count()}});
  return true;
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
  const auto MaxRejections = m_Brittle.limitOf(Target);
  if (!MaxRejections) {
    return decideRate(Target);
  }
  const auto Check = m_Rejections.check(Target, *MaxRejections, now());
  if (!Check.m_IsGranted) {
    return Check;
  }
  const auto Decision = decideRate(Target);
  if (Decision.m_IsGranted) {
    m_Rejections.onGranted(Target, now());
  }
  return Decision;
}

auto LimitService::decideRate(TargetKey Target) -> PermitDecision {
  const auto Limit = m_Table.limitOf(Target);
  const auto *Cold = findCold(Target);
  if (Cold == nullptr) {
    return Limit ? m_Issuer.request(Target, *Limit, now()) : PermitDecision{true};
  }
  if (!m_IsInContact) {
    return {false, OutOfContactWait};
  }
  const auto PerSecond = std::min(Cold->m_PerSecond, Limit.value_or(Cold->m_PerSecond));
  const auto Burst =
      std::min(Cold->m_Burst, Limit ? PermitIssuer::defaultBurst(*Limit) : Cold->m_Burst);
  return m_Issuer.request(Target, PerSecond, Burst, now());
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
  m_Link.send(Keeper, PermitRequest{m_Router, Id, m_Table.toReport(Target, now()),
                                    reportCold(Target), m_Brittle.toReport(Target, now())});
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
  } else if (const auto *Outcome = std::get_if<OutcomeReport>(&Message)) {
    m_Rejections.onOutcome(Outcome->m_Target, Outcome->m_IsRejected, now());
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
  for (const auto &Item : Update.m_Brittle) {
    if (addBrittleness(Item.m_Target, LimitTable::fromReport(Item, now()))) {
      New.m_Brittle.push_back(Item);
    }
  }
  return New;
}

auto LimitService::onPermitRequest(const PermitRequest &Request) -> void {
  const auto Target = Request.m_Limit.m_Target;
  addStatement(Target, LimitTable::fromReport(Request.m_Limit, now()));
  addBrittleness(Target, LimitTable::fromReport(Request.m_Brittle, now()));
  applyReportedCold(Target, Request.m_Cold);
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
  Reply.m_Brittle = m_Brittle.toReport(Target, now());
  m_Link.send(Request.m_Router, Reply);
}

auto LimitService::onPermitReply(const PermitReply &Reply) -> void {
  addStatement(Reply.m_Limit.m_Target, LimitTable::fromReport(Reply.m_Limit, now()));
  addBrittleness(Reply.m_Brittle.m_Target, LimitTable::fromReport(Reply.m_Brittle, now()));
  finishRequest(Reply.m_Id, {Reply.m_IsGranted, milliseconds(Reply.m_RetryAfterMs)});
}

auto LimitService::advance() -> void {
  m_Pool.removeExpired(now());
  if (now() - m_LastReport < ReportInterval) {
    return;
  }
  m_LastReport = now();
  m_Table.removeExpired(now());
  m_Brittle.removeExpired(now());
  m_Issuer.removeExpired(now());
  m_Rejections.removeExpired(now());
  absl::erase_if(m_Cold, [this](const auto &Item) { return Item.second.m_Until <= now(); });
  absl::erase_if(m_RefusedUntil, [this](const auto &Item) { return Item.second <= now(); });
  const auto Update = LimitUpdate{m_Router, m_Table.reportAll(now()), m_Brittle.reportAll(now())};
  if (!Update.isEmpty()) {
    m_Link.publish(Update);
  }
}

} // namespace geraniumlift::ratelimits
