#pragma once

#include "base/ischeduler.h"
#include "keyvalue/ikeyvaluestore.h"

#include <absl/strings/match.h>
#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace geraniumlift::fakes {

/// A key-value service in memory with switchable faults. Thread-safe. Without a scheduler,
/// callbacks run before the call returns; with one, they run on it after the delay.
class FakeKeyValueStore final : public keyvalue::IKeyValueStore {
public:
  using ReadResult = absl::StatusOr<std::optional<keyvalue::KeyValue>>;
  using ListResult = absl::StatusOr<std::vector<keyvalue::KeyValue>>;
  using LeaseResult = absl::StatusOr<keyvalue::LeaseId>;

  explicit FakeKeyValueStore(base::IScheduler *Scheduler = nullptr) : m_Scheduler(Scheduler) {}

  /// Time between a call and its effect. Needs a scheduler.
  auto setDelay(std::chrono::milliseconds Delay) -> void {
    change([&] { m_Delay = Delay; });
  }

  /// While down, calls fail with Unavailable and change nothing.
  auto setDown(bool Down) -> void {
    change([&] { m_Down = Down; });
  }

  /// The next writes take effect but have the outcome Unknown.
  auto loseAnswers(int Count) -> void {
    change([&] { m_LoseAnswers = Count; });
  }

  /// The next writes have the outcome Unknown and take effect only in applyLateWrites().
  auto delayWrites(int Count) -> void {
    change([&] { m_LateWrites = Count; });
  }

  /// The next reads and lists give the value that each key had before its last write.
  auto staleReads(int Count) -> void {
    change([&] { m_StaleReads = Count; });
  }

  /// Carries out the writes held back by delayWrites(), in order.
  auto applyLateWrites() -> void {
    change([&] {
      for (const auto &Apply : std::exchange(m_HeldWrites, {})) {
        Apply();
      }
    });
  }

  /// Ends a lease as if its time had run out.
  auto expireLease(keyvalue::LeaseId Lease) -> void {
    change([&] { endLease(Lease); });
  }

  /// Sets a key directly, without faults and without being counted.
  auto set(const std::string &Key, std::string Value) -> void {
    change([&] { write(Key, std::move(Value), 0); });
  }

  /// Reads a key directly, without faults and without being counted.
  [[nodiscard]] auto get(const std::string &Key) const -> std::optional<keyvalue::KeyValue> {
    const auto Lock = std::scoped_lock(m_Mutex);
    return current(Key);
  }

  /// Calls of one kind so far, failed ones included.
  [[nodiscard]] auto calls(keyvalue::CallKind Kind) const -> std::int64_t {
    const auto Lock = std::scoped_lock(m_Mutex);
    return m_Calls[static_cast<std::size_t>(Kind)];
  }

  auto read(std::string Key, ReadCallback Done) -> void override {
    perform(keyvalue::CallKind::Read, [this, Key = std::move(Key), Done = std::move(Done)] {
      if (m_Down) {
        return deliver(Done, ReadResult(unavailable()));
      }
      deliver(Done, ReadResult(takeStaleRead() ? m_Slots[Key].m_Previous : current(Key)));
    });
  }

  auto list(std::string Prefix, ListCallback Done) -> void override {
    perform(keyvalue::CallKind::Read, [this, Prefix = std::move(Prefix), Done = std::move(Done)] {
      if (m_Down) {
        return deliver(Done, ListResult(unavailable()));
      }
      deliver(Done, ListResult(entriesWithPrefix(Prefix, takeStaleRead())));
    });
  }

  auto compareAndSwap(keyvalue::CompareAndSwap Request, WriteCallback Done) -> void override {
    performWrite(
        [this, Request = std::move(Request)] {
          const auto Lease = Request.m_Lease.value_or(0);
          if (Lease != 0 && !m_Leases.contains(Lease)) {
            return keyvalue::WriteResult{.m_Status = absl::NotFoundError("the lease has ended")};
          }
          return compareAnd(Request.m_Key, Request.m_ExpectedModRevision,
                            [&] { write(Request.m_Key, Request.m_Value, Lease); });
        },
        std::move(Done));
  }

  auto compareAndErase(std::string Key, std::int64_t ExpectedModRevision, WriteCallback Done)
      -> void override {
    performWrite(
        [this, Key = std::move(Key), ExpectedModRevision] {
          return compareAnd(Key, ExpectedModRevision, [&] { erase(Key); });
        },
        std::move(Done));
  }

  auto grantLease(std::chrono::seconds /*TimeToLive*/, LeaseCallback Done) -> void override {
    perform(keyvalue::CallKind::Lease, [this, Done = std::move(Done)] {
      if (m_Down) {
        return deliver(Done, LeaseResult(unavailable()));
      }
      m_Leases.insert(++m_LastLease);
      deliver(Done, LeaseResult(m_LastLease));
    });
  }

  auto keepAlive(keyvalue::LeaseId Lease, StatusCallback Done) -> void override {
    perform(keyvalue::CallKind::Lease, [this, Lease, Done = std::move(Done)] {
      const auto Status =
          m_Leases.contains(Lease) ? absl::OkStatus() : absl::NotFoundError("the lease has ended");
      deliver(Done, m_Down ? unavailable() : Status);
    });
  }

  auto revokeLease(keyvalue::LeaseId Lease, StatusCallback Done) -> void override {
    perform(keyvalue::CallKind::Lease, [this, Lease, Done = std::move(Done)] {
      if (m_Down) {
        return deliver(Done, unavailable());
      }
      deliver(Done, endLease(Lease) ? absl::OkStatus() : absl::NotFoundError("no such lease"));
    });
  }

private:
  struct Slot {
    std::optional<keyvalue::KeyValue> m_Current;
    std::optional<keyvalue::KeyValue> m_Previous;
    keyvalue::LeaseId m_Lease = 0;
  };

  static auto unavailable() -> absl::Status { return absl::UnavailableError("down"); }

  template <typename Function>
  auto change(Function Change) -> void {
    const auto Lock = std::scoped_lock(m_Mutex);
    Change();
  }

  /// Counts a call and runs its action under the lock, then the callbacks outside of it.
  auto perform(keyvalue::CallKind Kind, std::function<void()> Action) -> void {
    auto Delay = std::chrono::milliseconds{0};
    {
      const auto Lock = std::scoped_lock(m_Mutex);
      ++m_Calls[static_cast<std::size_t>(Kind)];
      Delay = m_Delay;
    }
    if (m_Scheduler == nullptr) {
      return run(Action);
    }
    m_Scheduler->after(Delay, [this, Action = std::move(Action)] { run(Action); });
  }

  auto run(const std::function<void()> &Action) -> void {
    auto Callbacks = std::vector<std::function<void()>>();
    {
      const auto Lock = std::scoped_lock(m_Mutex);
      Action();
      Callbacks = std::exchange(m_Callbacks, {});
    }
    for (const auto &Callback : Callbacks) {
      Callback();
    }
  }

  /// Has run() call the callback once the lock is free.
  template <typename Callback, typename Result>
  auto deliver(const Callback &Done, Result Value) -> void {
    m_Callbacks.push_back([Done, Value = std::move(Value)] { Done(Value); });
  }

  auto performWrite(std::function<keyvalue::WriteResult()> Apply, WriteCallback Done) -> void {
    perform(keyvalue::CallKind::Write, [this, Apply = std::move(Apply), Done = std::move(Done)] {
      if (m_Down) {
        return deliver(Done, keyvalue::WriteResult{.m_Status = unavailable()});
      }
      const auto Lost = keyvalue::WriteResult{.m_Status = absl::DeadlineExceededError("no answer")};
      if (m_LateWrites > 0) {
        --m_LateWrites;
        m_HeldWrites.push_back(Apply);
        return deliver(Done, Lost);
      }
      auto Result = Apply();
      if (m_LoseAnswers > 0) {
        --m_LoseAnswers;
        return deliver(Done, Lost);
      }
      deliver(Done, std::move(Result));
    });
  }

  template <typename Function>
  auto compareAnd(const std::string &Key, std::int64_t Expected, Function Change)
      -> keyvalue::WriteResult {
    const auto Current = current(Key);
    if ((Current ? Current->m_ModRevision : keyvalue::AbsentRevision) != Expected) {
      return {.m_Outcome = keyvalue::WriteOutcome::Conflict, .m_Current = Current};
    }
    Change();
    return {.m_Outcome = keyvalue::WriteOutcome::Applied, .m_ModRevision = m_Revision};
  }

  [[nodiscard]] auto current(const std::string &Key) const -> std::optional<keyvalue::KeyValue> {
    const auto Found = m_Slots.find(Key);
    return Found == m_Slots.end() ? std::nullopt : Found->second.m_Current;
  }

  auto write(const std::string &Key, std::string Value, keyvalue::LeaseId Lease) -> void {
    auto &Slot = m_Slots[Key];
    ++m_Revision;
    const auto Created = Slot.m_Current ? Slot.m_Current->m_CreateRevision : m_Revision;
    Slot.m_Previous = std::exchange(Slot.m_Current,
                                    keyvalue::KeyValue{Key, std::move(Value), Created, m_Revision});
    Slot.m_Lease = Lease;
  }

  auto erase(const std::string &Key) -> void {
    auto &Slot = m_Slots[Key];
    if (Slot.m_Current) {
      ++m_Revision;
      Slot.m_Previous = std::exchange(Slot.m_Current, std::nullopt);
    }
  }

  auto endLease(keyvalue::LeaseId Lease) -> bool {
    for (const auto &[Key, Slot] : m_Slots) {
      if (Slot.m_Lease == Lease && Lease != 0) {
        erase(Key);
      }
    }
    return m_Leases.erase(Lease) > 0;
  }

  auto entriesWithPrefix(const std::string &Prefix, bool Stale) const
      -> std::vector<keyvalue::KeyValue> {
    auto Entries = std::vector<keyvalue::KeyValue>();
    for (const auto &[Key, Slot] : m_Slots) {
      const auto &Value = Stale ? Slot.m_Previous : Slot.m_Current;
      if (Value && absl::StartsWith(Key, Prefix)) {
        Entries.push_back(*Value);
      }
    }
    return Entries;
  }

  auto takeStaleRead() -> bool {
    const auto Stale = m_StaleReads > 0;
    m_StaleReads -= Stale ? 1 : 0;
    return Stale;
  }

  base::IScheduler *m_Scheduler;
  mutable std::mutex m_Mutex;
  std::map<std::string, Slot> m_Slots;
  std::set<keyvalue::LeaseId> m_Leases;
  std::vector<std::function<void()>> m_Callbacks;
  std::vector<std::function<keyvalue::WriteResult()>> m_HeldWrites;
  std::array<std::int64_t, keyvalue::CallKindNames.size()> m_Calls{};
  std::chrono::milliseconds m_Delay{0};
  std::int64_t m_Revision = 1;
  keyvalue::LeaseId m_LastLease = 0;
  int m_LoseAnswers = 0;
  int m_LateWrites = 0;
  int m_StaleReads = 0;
  bool m_Down = false;
};

} // namespace geraniumlift::fakes
