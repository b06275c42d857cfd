#pragma once

#include "base/ischeduler.h"
#include "keyvalue/ikeyvaluestore.h"

#include <map>

namespace geraniumlift::configuration::testing {

/// Fault that is injected into one call. Down applies no write; LostApplied and LostNotApplied lose
/// the response of a write that was or was not applied.
enum class Fault { None, Down, LostApplied, LostNotApplied };

/// An in-memory key-value store with faults injected per call. Callbacks run on the scheduler.
class FakeStore final : public keyvalue::IKeyValueStore {
public:
  explicit FakeStore(base::IScheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto read(std::string Key, ReadCallback Done) -> void override {
    ++m_ReadCounts[Key];
    auto Result = absl::StatusOr<std::optional<keyvalue::KeyValue>>(std::nullopt);
    if (m_SelectFault(Key, false) != Fault::None) {
      Result = absl::UnavailableError("down");
    } else if (const auto Old = m_StaleValues.find(Key); Old != m_StaleValues.end()) {
      Result = Old->second;
    } else if (const auto Found = m_Entries.find(Key); Found != m_Entries.end()) {
      Result = Found->second;
    }
    m_Scheduler.after(m_Latency, [Done = std::move(Done), Result] { Done(Result); });
  }

  auto compareAndSwap(keyvalue::CompareAndSwap Request, WriteCallback Done) -> void override {
    const auto InjectedFault = m_SelectFault(Request.m_Key, true);
    auto Result = keyvalue::WriteResult();
    if (InjectedFault == Fault::None || InjectedFault == Fault::LostApplied) {
      Result = apply(Request);
    }
    if (InjectedFault != Fault::None) {
      Result = {.m_Outcome = keyvalue::WriteOutcome::Unknown,
                .m_Status = absl::UnavailableError("lost")};
    }
    m_Scheduler.after(m_Latency, [Done = std::move(Done), Result] { Done(Result); });
  }

  auto list(std::string /*Prefix*/, ListCallback /*Done*/) -> void override {}
  auto compareAndErase(std::string Key, std::int64_t ExpectedModRevision, WriteCallback Done)
      -> void override {
    m_Scheduler.after(m_EraseDelay, [this, Key, ExpectedModRevision, Done = std::move(Done)] {
      const auto Found = m_Entries.find(Key);
      const auto IsSame =
          Found != m_Entries.end() && Found->second.m_ModRevision == ExpectedModRevision;
      if (IsSame) {
        m_Entries.erase(Found);
      }
      Done({.m_Outcome =
                IsSame ? keyvalue::WriteOutcome::Applied : keyvalue::WriteOutcome::Conflict});
    });
  }

  auto grantLease(std::chrono::seconds /*TimeToLive*/, LeaseCallback /*Done*/) -> void override {}
  auto keepAlive(keyvalue::LeaseId /*Lease*/, StatusCallback /*Done*/) -> void override {}
  auto revokeLease(keyvalue::LeaseId /*Lease*/, StatusCallback /*Done*/) -> void override {}

  auto apply(const keyvalue::CompareAndSwap &Request) -> keyvalue::WriteResult {
    const auto Found = m_Entries.find(Request.m_Key);
    const auto Revision = Found == m_Entries.end() ? 0 : Found->second.m_ModRevision;
    if (Revision != Request.m_ExpectedModRevision) {
      auto Result = keyvalue::WriteResult{.m_Outcome = keyvalue::WriteOutcome::Conflict};
      if (Found != m_Entries.end()) {
        Result.m_Current = Found->second;
      }
      return Result;
    }
    ++m_Revision;
    m_Entries[Request.m_Key] = {.m_Key = Request.m_Key,
                                .m_Value = Request.m_Value,
                                .m_CreateRevision = m_Revision,
                                .m_ModRevision = m_Revision};
    return {.m_Outcome = keyvalue::WriteOutcome::Applied, .m_ModRevision = m_Revision};
  }

  /// Selects the fault of a call by its key and whether it is a write.
  std::function<Fault(const std::string &, bool)> m_SelectFault = [](const auto &, bool) {
    return Fault::None;
  };

  std::map<std::string, keyvalue::KeyValue> m_Entries;

  /// Time between the effect of a read or compareAndSwap and its response.
  std::chrono::milliseconds m_Latency{0};

  /// Time between a call of compareAndErase and its effect.
  std::chrono::milliseconds m_EraseDelay{0};

  /// Entries that reads return instead of the current ones.
  std::map<std::string, keyvalue::KeyValue> m_StaleValues;
  std::map<std::string, int> m_ReadCounts;

private:
  base::IScheduler &m_Scheduler;
  std::int64_t m_Revision = 0;
};

} // namespace geraniumlift::configuration::testing
