#pragma once

#include "base/iclock.h"
#include "base/ischeduler.h"
#include "keyvalue/ikeyvaluestore.h"

#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace geraniumlift::claims::internal {

/// Caches one lease that all claims of an interval share. Used on the scheduler thread only.
class LeaseCache final : public std::enable_shared_from_this<LeaseCache> {
public:
  using Callback = std::function<void(std::optional<keyvalue::LeaseId>)>;

  LeaseCache(std::chrono::seconds TimeToLive, std::chrono::seconds SharingInterval,
             keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
             const base::IClock &Clock)
      : m_TimeToLive(TimeToLive), m_SharingInterval(SharingInterval), m_Store(Store),
        m_Scheduler(Scheduler), m_Clock(Clock) {}

  /// Calls back with the lease, or with nothing if none could be obtained.
  auto get(Callback Done) -> void {
    if (m_Lease && m_Clock.steadyNow() - m_RequestedAt < m_SharingInterval) {
      return Done(m_Lease);
    }
    m_Waiting.push_back(std::move(Done));
    if (m_Waiting.size() > 1) {
      return;
    }
    m_RequestedAt = m_Clock.steadyNow();
    auto Answer = [Weak = weak_from_this(), &Scheduler = m_Scheduler](auto Granted) {
      Scheduler.post([Weak, Granted = std::move(Granted)] {
        if (const auto Self = Weak.lock()) {
          Self->onGranted(Granted);
        }
      });
    };
    m_Store.grantLease(m_TimeToLive, std::move(Answer));
  }

  /// Drops the cached lease, because the key-value service no longer knows it.
  auto forget() -> void { m_Lease.reset(); }

private:
  auto onGranted(const absl::StatusOr<keyvalue::LeaseId> &Granted) -> void {
    m_Lease = Granted.ok() ? std::optional(*Granted) : std::nullopt;
    for (const auto &Done : std::exchange(m_Waiting, {})) {
      Done(m_Lease);
    }
  }

  std::chrono::seconds m_TimeToLive;
  std::chrono::seconds m_SharingInterval;
  keyvalue::IKeyValueStore &m_Store;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  std::optional<keyvalue::LeaseId> m_Lease;
  base::SteadyTime m_RequestedAt;
  std::vector<Callback> m_Waiting;
};

} // namespace geraniumlift::claims::internal
