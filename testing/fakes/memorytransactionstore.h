#pragma once

#include "fakes/manualtimers.h"
#include "keyvalue/itransactionstore.h"

#include <map>
#include <set>

namespace geraniumlift::fakes {

/// A store in memory in virtual time. Calls take one millisecond.
class MemoryTransactionStore final : public keyvalue::ITransactionStore {
public:
  MemoryTransactionStore(ManualTimers &Timers, const base::IClock &Clock)
      : m_Timers(Timers), m_Clock(Clock) {}

  /// While set, calls fail.
  bool m_IsAway = false;

  /// While set, watches get no answer.
  bool m_LosesWatches = false;

  /// While set, watches report that the history is gone.
  bool m_HistoryGone = false;

  /// When a part of an answer last arrived.
  std::optional<base::SteadyTime> m_LastHeardAt;
  int m_Lists = 0;
  int m_StaleReads = 0;
  int m_Watches = 0;
  int m_Writes = 0;
  std::map<std::string, keyvalue::KeyValue> m_Keys;
  std::int64_t m_Revision = 1;

  auto put(const std::string &Key, const std::string &Value) -> void {
    m_Keys[Key] = {Key, Value, ++m_Revision, m_Revision};
  }

  auto transact(keyvalue::Transaction Request, TransactionCallback Done) -> void override {
    ++m_Writes;
    answer([this, Request = std::move(Request), Done = std::move(Done)] {
      auto Result = keyvalue::TransactionResult();
      if (m_IsAway) {
        Result.m_Outcome = keyvalue::TransactionOutcome::NotDone;
        Done(Result);
        return;
      }
      Result.m_Outcome = keyvalue::TransactionOutcome::Applied;
      for (const auto &Condition : Request.m_Conditions) {
        const auto Found = m_Keys.find(Condition.m_Key);
        if ((Found == m_Keys.end() ? 0 : Found->second.m_ModRevision) != Condition.m_Revision) {
          Result.m_Outcome = keyvalue::TransactionOutcome::Conflict;
        }
        if (Found != m_Keys.end()) {
          Result.m_Current.push_back(Found->second);
        }
      }
      for (const auto &Write : Request.m_Writes) {
        if (Write.m_Lease && m_EndedLeases.contains(*Write.m_Lease)) {
          Result.m_Outcome = keyvalue::TransactionOutcome::LeaseEnded;
        }
      }
      if (Result.m_Outcome == keyvalue::TransactionOutcome::Applied) {
        ++m_Revision;
        for (const auto &Write : Request.m_Writes) {
          m_Leases.erase(Write.m_Key);
          if (Write.m_Lease) {
            m_Leases[Write.m_Key] = *Write.m_Lease;
          }
          m_Keys[Write.m_Key] = {Write.m_Key, Write.m_Value, m_Revision, m_Revision};
        }
        Result.m_Revision = m_Revision;
      }
      Done(Result);
    });
  }

  auto list(std::string Prefix, ListCallback Done) -> void override {
    ++m_Lists;
    answer([this, Prefix = std::move(Prefix), Done = std::move(Done)] {
      if (m_IsAway) {
        Done(absl::UnavailableError("away"));
        return;
      }
      auto Result = keyvalue::ListResult{{}, m_Revision};
      for (const auto &[Key, Item] : m_Keys) {
        if (Key.starts_with(Prefix)) {
          Result.m_Items.push_back(Item);
        }
      }
      Done(std::move(Result));
    });
  }

  auto readStale(std::string Key, ReadCallback Done) -> void override {
    ++m_StaleReads;
    answer([this, Key = std::move(Key), Done = std::move(Done)] {
      if (m_IsAway) {
        Done(absl::UnavailableError("away"));
        return;
      }
      const auto Found = m_Keys.find(Key);
      Done(Found == m_Keys.end() ? std::optional<keyvalue::KeyValue>() : Found->second);
    });
  }

  auto watch(std::string Prefix, std::int64_t After, std::chrono::milliseconds /*Wait*/,
             WatchCallback Done) -> void override {
    ++m_Watches;
    if (m_LosesWatches) {
      return;
    }
    answer([this, Prefix = std::move(Prefix), After, Done = std::move(Done)] {
      if (m_IsAway) {
        Done(absl::UnavailableError("away"));
        return;
      }
      if (m_HistoryGone) {
        m_HistoryGone = false;
        Done(absl::OutOfRangeError("gone"));
        return;
      }
      auto Result = keyvalue::WatchResult{{}, m_Revision};
      for (const auto &[Key, Item] : m_Keys) {
        if (Key.starts_with(Prefix) && Item.m_ModRevision > After) {
          Result.m_Events.push_back({Item, false});
        }
      }
      Done(std::move(Result));
    });
  }

  [[nodiscard]] auto lastHeardAt() const -> std::optional<base::SteadyTime> override {
    return m_LastHeardAt;
  }

  auto grantLease(std::chrono::milliseconds TimeToLive, LeaseCallback Done) -> void override {
    answer([this, TimeToLive, Done = std::move(Done)] {
      if (m_IsAway) {
        Done(absl::UnavailableError("away"));
        return;
      }
      const auto Lease = ++m_LastLease;
      m_Timers.start(m_Clock.steadyNow() + TimeToLive, [this, Lease] { endLease(Lease); });
      Done(Lease);
    });
  }
  auto keepAlive(keyvalue::LeaseId, StatusCallback Done) -> void override {
    Done(absl::UnimplementedError("not used"));
  }

  /// Removes the keys of a lease.
  auto endLease(keyvalue::LeaseId Lease) -> void {
    m_EndedLeases.insert(Lease);
    std::erase_if(m_Keys, [this, Lease](const auto &Item) {
      const auto Found = m_Leases.find(Item.first);
      return Found != m_Leases.end() && Found->second == Lease;
    });
  }

private:
  auto answer(std::function<void()> Function) -> void {
    m_Timers.start(m_Clock.steadyNow() + std::chrono::milliseconds(1), std::move(Function));
  }

  ManualTimers &m_Timers;
  const base::IClock &m_Clock;
  keyvalue::LeaseId m_LastLease = 0;
  std::set<keyvalue::LeaseId> m_EndedLeases;

  /// Lease of a key, if it has one.
  std::map<std::string, keyvalue::LeaseId> m_Leases;
};

} // namespace geraniumlift::fakes
