#include "router/internal/storesubscription.h"

#include <algorithm>

namespace geraniumlift::router {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

auto readerOptions(const SubscriptionOptions &Options) -> mirror::ReaderOptions {
  auto Result = mirror::ReaderOptions();
  Result.m_MaxAge = Options.m_Times.m_MaxAge + Options.m_AgeSpread;
  return Result;
}

auto ageAllowances(const SubscriptionOptions &Options) -> std::map<std::string, milliseconds> {
  auto Result = std::map<std::string, milliseconds>();
  for (const auto &Prefix : Options.m_UnhurriedPrefixes) {
    Result[Prefix] = Options.m_Times.m_UnhurriedAge;
  }
  return Result;
}

} // namespace

StoreSubscription::StoreSubscription(SubscriptionOptions Options,
                                     keyvalue::ITransactionStore &Store, mirror::IMirrorLink &Link,
                                     base::ITimers &Timers, const base::IClock &Clock,
                                     base::IEventLog &Log, IRecordListener &Listener)
    : m_Options(std::move(Options)), m_Store(Store), m_Link(Link), m_Timers(Timers), m_Clock(Clock),
      m_Log(Log), m_Listener(Listener),
      m_Mirror(m_Options.m_Self, m_Options.m_MirroredPrefixes, readerOptions(m_Options),
               ageAllowances(m_Options)) {}

auto StoreSubscription::start() -> void { follow(std::string(), 0); }

auto StoreSubscription::followerOptions(const std::string &Prefix) const
    -> keyvalue::StoreFollowerOptions {
  auto Result = keyvalue::StoreFollowerOptions();
  const auto IsRelay = m_Role == fleet::FleetRole::Relay;
  const auto &Times = m_Options.m_Times;
  Result.m_MinWatchInterval = IsRelay ? Times.m_RelayWatchInterval : Times.m_WatchInterval;
  Result.m_WatchTimeout = IsRelay ? Times.m_RelayWatchInterval : Times.m_WatchWait;
  if (m_Options.m_UnhurriedPrefixes.contains(Prefix)) {
    Result.m_WatchTimeout += Times.m_UnhurriedWait;
  }
  return Result;
}

auto StoreSubscription::follow(const std::string &Prefix, std::int64_t KnownRevision) -> void {
  auto &Follower = *m_Followers.emplace_back(std::make_unique<keyvalue::StoreFollower>(
      Prefix, followerOptions(Prefix), m_Store, m_Timers, m_Clock, m_Log, *this));
  if (KnownRevision == 0) {
    Follower.start();
  } else {
    Follower.startAfter(KnownRevision);
  }
  if (!m_IsStoreReachable) {
    Follower.suspend();
  }
}

auto StoreSubscription::stopFollowingBudgets() -> void {
  m_FollowsBudgets = false;
  const auto KnownRevision = m_Followers.back()->revision();
  m_Followers.back()->stop();
  m_StoppedFollower = std::move(m_Followers.back());
  m_Followers.clear();
  for (const auto &Prefix : m_Mirror.prefixes()) {
    follow(Prefix, KnownRevision);
  }
}

auto StoreSubscription::setStoreReachable(bool IsReachable) -> void {
  m_IsStoreReachable = IsReachable;
  updateFollowers();
}

auto StoreSubscription::advance(fleet::FleetRole Role, const std::vector<std::string> &Relays)
    -> void {
  if (Role == fleet::FleetRole::Relay && m_Role != Role) {
    m_RelaySince = m_Clock.steadyNow();
  }
  m_Role = Role;
  m_Relays = Relays;
  requestChanges();
  updateFollowers();
}

auto StoreSubscription::requestChanges() -> void {
  if (m_Relays.empty()) {
    return;
  }
  const auto Request = m_Mirror.buildRequest(m_Clock.steadyNow());
  for (const auto &Relay : m_Relays) {
    m_Link.send(Relay, Request);
  }
}

auto StoreSubscription::onRequest(const mirror::MirrorRequest &Message) -> void {
  if (m_Role == fleet::FleetRole::Relay) {
    m_Link.send(Message.m_Router, m_Mirror.answer(Message, m_Clock.steadyNow()));
  }
}

auto StoreSubscription::onUpdate(const mirror::MirrorUpdate &Message) -> void {
  const auto Events = m_Mirror.apply(Message);
  m_Listener.onRecordsChanged(Events);
  if (m_Mirror.reader().hasMore() && !Events.empty()) {
    requestChanges();
  }
  for (const auto Index : m_Mirror.reader().tooLarge()) {
    readPrefix(Index);
  }
  updateFollowers();
}

auto StoreSubscription::readPrefix(std::size_t Index) -> void {
  const auto Started = m_Clock.steadyNow();
  const auto Last = m_ReadAt.find(Index);
  const auto IsRecent =
      Last != m_ReadAt.end() && Started - Last->second < m_Options.m_Times.m_RelayWatchInterval;
  if (!m_IsStoreReachable || IsRecent || !m_Reading.insert(Index).second) {
    return;
  }
  m_ReadAt[Index] = Started;
  m_Mirror.reader().onReadBegun(Index, Started);
  const auto &Prefix = m_Mirror.prefixes()[Index];
  m_Store.list(Prefix, [this, Index, Started](const absl::StatusOr<keyvalue::ListResult> &Result) {
    m_Reading.erase(Index);
    const auto &Name = m_Mirror.prefixes()[Index];
    m_Log.record(base::LogLevel::Info, "prefix_read",
                 {{"prefix", Name},
                  {"outcome", Result.ok() ? "ok" : std::string(Result.status().message())},
                  {"revision", Result.ok() ? Result->m_Revision : 0},
                  {"took_ms", duration_cast<milliseconds>(m_Clock.steadyNow() - Started).count()}});
    if (Result.ok()) {
      onList(Name, *Result, Started);
    } else {
      m_Mirror.reader().onReadFailed(Index);
    }
    updateFollowers();
  });
}

auto StoreSubscription::onList(std::string_view Prefix, const keyvalue::ListResult &Result,
                               base::SteadyTime ConfirmedAt) -> void {
  m_LastAnswered = std::max(m_LastAnswered.value_or(ConfirmedAt), ConfirmedAt);
  m_Listener.onRecordsListed(Prefix, Result);
  auto Keys = std::set<std::string>();
  for (const auto &Item : Result.m_Items) {
    Keys.insert(Item.m_Key);
  }
  m_Mirror.onListed(Prefix, Keys, Result.m_Revision, ConfirmedAt);
}

auto StoreSubscription::onChanges(std::string_view Prefix, const keyvalue::WatchResult &Result,
                                  base::SteadyTime ConfirmedAt) -> void {
  m_LastAnswered = std::max(m_LastAnswered.value_or(ConfirmedAt), ConfirmedAt);
  m_Listener.onRecordsChanged(Result.m_Events);
  m_Mirror.onConfirmed(Prefix, Result.m_Revision, ConfirmedAt);
}

auto StoreSubscription::updateFollowers() -> void {
  const auto Now = m_Clock.steadyNow();
  // Relays do not pass on budget records.
  const auto MustFollow = m_FollowsBudgets || m_Role != fleet::FleetRole::Member ||
                          m_Mirror.reader().mustFollowStore(Now);
  for (const auto &Follower : m_Followers) {
    const auto Options = followerOptions(Follower->prefix());
    Follower->setPace(Options.m_MinWatchInterval, Options.m_WatchTimeout);
    if (MustFollow && m_IsStoreReachable) {
      Follower->advanceTo(m_Mirror.revisionOf(Follower->prefix()));
      Follower->resume();
    } else {
      Follower->suspend();
    }
  }
  if (MustFollow != m_FollowsStore) {
    m_FollowsStore = MustFollow;
    m_Log.record(base::LogLevel::Info,
                 MustFollow ? "store_followed_directly" : "store_followed_by_relay",
                 {{"role", nameOf(fleet::FleetRoleNames, m_Role)},
                  {"revision", m_Mirror.revisionOf(m_Mirror.prefixes().front())},
                  {"age_ms", knowledgeAge().count()}});
  }
  m_Timers.cancel(std::exchange(m_Timer, 0));
  if (const auto At = m_Mirror.reader().followStoreAt(); At && !MustFollow) {
    m_Timer = m_Timers.start(*At + milliseconds(1), [this] {
      m_Timer = 0;
      updateFollowers();
    });
  }
}

auto StoreSubscription::ageAt(std::optional<base::SteadyTime> Time) const -> milliseconds {
  return Time ? duration_cast<milliseconds>(m_Clock.steadyNow() - *Time) : milliseconds::max();
}

auto StoreSubscription::storeAge(std::optional<base::SteadyTime> LastProbe) const -> milliseconds {
  if (m_Role != fleet::FleetRole::Relay) {
    return ageAt(std::max(m_LastAnswered, LastProbe));
  }
  // A router that has just become a relay is still waiting for the first confirmation.
  return ageAt(std::max(m_Mirror.confirmedAt(), std::optional(m_RelaySince)));
}

auto StoreSubscription::knowledgeAge() const -> milliseconds { return ageAt(m_Mirror.knownAt()); }

auto StoreSubscription::knowledgeRelay() const -> std::string {
  const auto &Reader = m_Mirror.reader();
  return Reader.confirmedAt() > m_Mirror.confirmedAt() ? Reader.confirmedBy() : std::string();
}

} // namespace geraniumlift::router
