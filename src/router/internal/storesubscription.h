#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "fleet/fleettypes.h"
#include "keyvalue/storefollower.h"
#include "mirror/followtimes.h"
#include "mirror/imirrorlink.h"
#include "mirror/mirrorexchange.h"

#include <memory>
#include <set>
#include <vector>

namespace geraniumlift::router {

/// Receives the records that a StoreSubscription learns of.
class IRecordListener {
public:
  virtual ~IRecordListener() = default;

  /// Called with all keys that have the prefix; any other key with the prefix no longer exists.
  virtual auto onRecordsListed(std::string_view Prefix, const keyvalue::ListResult &Result)
      -> void = 0;

  /// Called with changes in their order, whether the store or a relay told of them.
  virtual auto onRecordsChanged(const std::vector<keyvalue::WatchEvent> &Events) -> void = 0;
};

/// Settings of a StoreSubscription.
struct SubscriptionOptions {
  /// Name of this router.
  std::string m_Self;

  /// Key prefixes whose records relays pass on.
  std::vector<std::string> m_MirroredPrefixes;
  mirror::FollowTimes m_Times;

  /// Random time that this router adds to its largest age; see FollowTimes.
  std::chrono::milliseconds m_AgeSpread{0};

  /// Those of the mirrored prefixes whose records have no change time: watches of them wait for
  /// longer while nothing changes.
  std::set<std::string> m_UnhurriedPrefixes = {};
};

/// Keeps this router's copy of the store's records current. In a small fleet it follows the store.
/// In a large one it gets the changes from a relay for as long as these are fresh enough, and
/// follows the store itself otherwise; a relay follows the store for its readers.
class StoreSubscription final : public keyvalue::IStoreListener {
public:
  StoreSubscription(SubscriptionOptions Options, keyvalue::ITransactionStore &Store,
                    mirror::IMirrorLink &Link, base::ITimers &Timers, const base::IClock &Clock,
                    base::IEventLog &Log, IRecordListener &Listener);

  /// Starts to follow all keys of the store.
  auto start() -> void;

  /// Sets whether the store can be reached; otherwise no calls are made.
  auto setStoreReachable(bool IsReachable) -> void;

  /// Follows only the mirrored prefixes from now on. In a large fleet the budget records change so
  /// often that a small VM cannot follow them.
  auto stopFollowingBudgets() -> void;
  [[nodiscard]] auto followsBudgets() const -> bool { return m_FollowsBudgets; }

  /// Sets this router's role and the relays to which it reports, and requests changes from these.
  /// Called in each period of the fleet's exchange.
  auto advance(fleet::FleetRole Role, const std::vector<std::string> &Relays) -> void;

  /// Answers a reader, if this router is a relay.
  auto onRequest(const mirror::MirrorRequest &Message) -> void;
  auto onUpdate(const mirror::MirrorUpdate &Message) -> void;

  /// The records that this router passes on, which the listener adds to.
  [[nodiscard]] auto mirror() -> mirror::MirrorExchange & { return m_Mirror; }

  /// Time since the store last answered this router, of which the last probe at the given time is
  /// one answer. For a relay, time since the store last confirmed all mirrored records to it.
  [[nodiscard]] auto storeAge(std::optional<base::SteadyTime> LastProbe) const
      -> std::chrono::milliseconds;

  /// Time at which the store is last known to have answered a router: this one, or its relay;
  /// nothing if that is not known.
  [[nodiscard]] auto storeAnsweredAt() const -> std::optional<base::SteadyTime> {
    return std::max(m_LastAnswered, m_Mirror.reader().confirmedAt());
  }

  /// Age of this router's knowledge of the mirrored records, whether from the store or from a
  /// relay; the largest duration while some are not known at all.
  [[nodiscard]] auto knowledgeAge() const -> std::chrono::milliseconds;

  /// Name of the relay that this router's knowledge comes from; empty if it is the store.
  [[nodiscard]] auto knowledgeRelay() const -> std::string;

private:
  auto onList(std::string_view Prefix, const keyvalue::ListResult &Result,
              base::SteadyTime ConfirmedAt) -> void override;
  auto onChanges(std::string_view Prefix, const keyvalue::WatchResult &Result,
                 base::SteadyTime ConfirmedAt) -> void override;

  /// Starts a follower of all keys with the prefix. Without a known revision it lists them first.
  auto follow(const std::string &Prefix, std::int64_t KnownRevision) -> void;
  auto requestChanges() -> void;

  /// Reads all keys with a mirrored prefix from the store, unless that was begun shortly before. A
  /// watch would send each version of a large record that has come in between.
  auto readPrefix(std::size_t Index) -> void;

  /// Makes the followers follow the store, or not, and sets the timer for the next decision.
  auto updateFollowers() -> void;
  [[nodiscard]] auto followerOptions(const std::string &Prefix) const
      -> keyvalue::StoreFollowerOptions;
  [[nodiscard]] auto ageAt(std::optional<base::SteadyTime> Time) const -> std::chrono::milliseconds;

  SubscriptionOptions m_Options;
  keyvalue::ITransactionStore &m_Store;
  mirror::IMirrorLink &m_Link;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  IRecordListener &m_Listener;
  mirror::MirrorExchange m_Mirror;
  std::vector<std::unique_ptr<keyvalue::StoreFollower>> m_Followers;

  /// The follower of all keys that a large fleet replaced; calls to the store still refer to it.
  std::unique_ptr<keyvalue::StoreFollower> m_StoppedFollower;
  bool m_FollowsBudgets = true;

  /// Whether this router follows the store itself.
  bool m_FollowsStore = true;
  bool m_IsStoreReachable = true;
  fleet::FleetRole m_Role = fleet::FleetRole::Direct;
  std::vector<std::string> m_Relays;

  /// By index of the mirrored prefix, when its last read from the store began.
  std::map<std::size_t, base::SteadyTime> m_ReadAt;
  std::set<std::size_t> m_Reading;

  /// When this router last became a relay.
  base::SteadyTime m_RelaySince;

  /// Latest time at which the store is known to have answered a follower.
  std::optional<base::SteadyTime> m_LastAnswered;
  base::TimerId m_Timer = 0;
};

} // namespace geraniumlift::router
