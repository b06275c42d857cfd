#pragma once

#include "fakes/manualscheduler.h"
#include "fakes/memorykeyvaluedata.h"
#include "keyvalue/ikeyvaluestore.h"

#include <deque>

namespace geraniumlift::fakes {

/// What happens to a write.
enum class WriteFault { None, LostAnswer, LostWrite, LateWrite };

/// One router's connection to the fake key-value service.
class MemoryKeyValueStore final : public keyvalue::IKeyValueStore {
public:
  MemoryKeyValueStore(MemoryKeyValueData &Data, ManualScheduler &Scheduler)
      : m_Data(Data), m_Scheduler(Scheduler) {}

  /// While set, calls are not delivered and fail after the call timeout.
  auto cut(bool IsCut) -> void { m_IsCut = IsCut; }

  /// The next writes suffer these faults, one each.
  auto failWrites(std::deque<WriteFault> Faults) -> void { m_Faults = std::move(Faults); }

  auto read(std::string Key, ReadCallback Done) -> void override {
    call([this, Key = std::move(Key), Done](bool IsCut) {
      if (IsCut) {
        return Done(absl::UnavailableError("cut off"));
      }
      ++m_Data.m_Reads;
      const auto Found = m_Data.m_Keys.find(Key);
      Done(Found == m_Data.m_Keys.end() ? std::nullopt : std::optional(Found->second));
    });
  }

  auto list(std::string /*Prefix*/, ListCallback Done) -> void override {
    Done(absl::UnimplementedError("the fake does not list"));
  }

  auto compareAndSwap(keyvalue::CompareAndSwap Request, WriteCallback Done) -> void override {
    write(Request, false, Done);
  }

  auto compareAndErase(std::string Key, std::int64_t Expected, WriteCallback Done)
      -> void override {
    write({.m_Key = std::move(Key), .m_ExpectedModRevision = Expected, .m_Value = {}}, true, Done);
  }

  auto grantLease(std::chrono::seconds /*TimeToLive*/, LeaseCallback Done) -> void override {
    call([this, Done](bool IsCut) {
      if (IsCut) {
        return Done(absl::UnavailableError("cut off"));
      }
      m_Data.m_Leases.insert(++m_Data.m_LastLease);
      Done(m_Data.m_LastLease);
    });
  }

  auto keepAlive(keyvalue::LeaseId Lease, StatusCallback Done) -> void override {
    call([this, Lease, Done](bool IsCut) {
      const auto Known = m_Data.m_Leases.contains(Lease);
      Done(IsCut ? absl::UnavailableError("cut off")
                 : (Known ? absl::OkStatus() : absl::NotFoundError("the lease has ended")));
    });
  }

  auto revokeLease(keyvalue::LeaseId Lease, StatusCallback Done) -> void override {
    call([this, Lease, Done](bool IsCut) {
      m_Data.m_Leases.erase(Lease);
      Done(IsCut ? absl::UnavailableError("cut off") : absl::OkStatus());
    });
  }

private:
  static constexpr auto OneWay = std::chrono::milliseconds{1};
  static constexpr auto CallTimeout = std::chrono::milliseconds{500};
  static constexpr auto LateBy = std::chrono::milliseconds{3000};

  template <typename Function>
  auto call(Function Answer) -> void {
    const auto IsCut = m_IsCut;
    m_Scheduler.after(IsCut ? CallTimeout : 2 * OneWay, [=] { Answer(IsCut); });
  }

  auto write(const keyvalue::CompareAndSwap &Request, bool Erase, const WriteCallback &Done)
      -> void {
    auto Fault = m_IsCut ? WriteFault::LostWrite : WriteFault::None;
    if (!m_IsCut && !m_Faults.empty()) {
      Fault = m_Faults.front();
      m_Faults.pop_front();
    }
    if (Fault != WriteFault::LostWrite) {
      const auto Delay = Fault == WriteFault::LateWrite ? LateBy : OneWay;
      m_Scheduler.after(Delay, [=, this] {
        const auto Result = m_Data.apply(Request, Erase);
        if (Fault == WriteFault::None) {
          m_Scheduler.after(OneWay, [=] { Done(Result); });
        }
      });
    }
    if (Fault != WriteFault::None) {
      m_Scheduler.after(CallTimeout, [=] {
        Done({.m_Outcome = keyvalue::WriteOutcome::Unknown,
              .m_Status = absl::UnavailableError("no answer")});
      });
    }
  }

  MemoryKeyValueData &m_Data;
  ManualScheduler &m_Scheduler;
  bool m_IsCut = false;
  std::deque<WriteFault> m_Faults;
};

} // namespace geraniumlift::fakes
