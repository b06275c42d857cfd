#pragma once

#include "base/itimers.h"
#include "keyvalue/itransactionstore.h"

#include <map>
#include <memory>
#include <vector>

namespace geraniumlift::router::tests {

/// How one VM reaches the store.
enum class StoreAccess {
  Normal,
  /// Connections are reset.
  Reset,
  /// Nothing arrives any more, in either direction.
  Silent,
  /// The store turns each call away, but lets watches wait that it has taken.
  TurnedAway,
};

/// The keys of a store in virtual time and the changes since its start.
class PlayedStore {
public:
  struct Waiter {
    std::string m_Prefix;
    std::int64_t m_After = 0;
    std::function<bool()> m_TryAnswer;
  };

  auto put(const std::string &Key, const std::string &Value) -> void {
    m_Events.push_back({{Key, Value, 1, ++m_Revision}, false});
    m_Keys[Key] = m_Events.back().m_Item;
    std::erase_if(m_Waiters, [&Key](const Waiter &Item) {
      return Key.starts_with(Item.m_Prefix) && Item.m_TryAnswer();
    });
  }

  [[nodiscard]] auto changesAfter(const std::string &Prefix, std::int64_t After) const
      -> keyvalue::WatchResult {
    auto Result = keyvalue::WatchResult{{}, m_Revision};
    for (const auto &Event : m_Events) {
      if (Event.m_Item.m_ModRevision > After && Event.m_Item.m_Key.starts_with(Prefix)) {
        Result.m_Events.push_back(Event);
      }
    }
    return Result;
  }

  std::map<std::string, keyvalue::KeyValue> m_Keys;
  std::vector<keyvalue::WatchEvent> m_Events;
  std::int64_t m_Revision = 1;
  std::vector<Waiter> m_Waiters;
};

/// One VM's calls to a PlayedStore. A call takes four milliseconds; a call without a response fails
/// after a timeout.
class PlayedStoreClient final : public keyvalue::ITransactionStore {
public:
  /// Timers run the network, ProcessTimers what the process does.
  PlayedStoreClient(PlayedStore &Store, base::ITimers &Timers, base::ITimers &ProcessTimers,
                    const base::IClock &Clock)
      : m_Store(Store), m_Timers(Timers), m_ProcessTimers(ProcessTimers), m_Clock(Clock) {}

  auto setAccess(StoreAccess Access) -> void {
    m_Access = Access;
    if (Access == StoreAccess::Reset) {
      for (const auto &Fail : std::exchange(m_OpenCalls, {})) {
        Fail();
      }
    }
  }

  /// Bytes a millisecond that this VM's link carries; 0 if the size does not matter.
  std::int64_t m_BytesPerMs = 0;

  /// Calls but stale reads, and stale reads, which cost a tenth.
  int m_Calls = 0;
  int m_StaleReads = 0;

  auto transact(keyvalue::Transaction, TransactionCallback Done) -> void override {
    Done(keyvalue::TransactionResult());
  }

  auto list(std::string Prefix, ListCallback Done) -> void override {
    call<keyvalue::ListResult>(std::chrono::milliseconds(0), std::move(Done),
                               [this, Prefix = std::move(Prefix)] {
                                 auto Result = keyvalue::ListResult{{}, m_Store.m_Revision};
                                 for (const auto &[Key, Item] : m_Store.m_Keys) {
                                   if (Key.starts_with(Prefix)) {
                                     Result.m_Items.push_back(Item);
                                   }
                                 }
                                 return std::optional(Result);
                               });
  }

  auto readStale(std::string, ReadCallback Done) -> void override {
    --m_Calls;
    ++m_StaleReads;
    call<std::optional<keyvalue::KeyValue>>(std::chrono::milliseconds(0), std::move(Done), [] {
      return std::optional(std::optional<keyvalue::KeyValue>());
    });
  }

  auto watch(std::string Prefix, std::int64_t After, std::chrono::milliseconds Wait,
             WatchCallback Done) -> void override {
    const auto Until = m_Clock.steadyNow() + Latency + Wait;
    call<keyvalue::WatchResult>(
        Wait, std::move(Done),
        [this, Prefix, After, Until]() -> std::optional<keyvalue::WatchResult> {
          auto Result = m_Store.changesAfter(Prefix, After);
          if (Result.m_Events.empty() && m_Clock.steadyNow() < Until) {
            return std::nullopt;
          }
          return Result;
        },
        Prefix);
  }

  auto grantLease(std::chrono::milliseconds, LeaseCallback) -> void override {}
  auto keepAlive(keyvalue::LeaseId, StatusCallback) -> void override {}

  [[nodiscard]] auto lastHeardAt() const -> std::optional<base::SteadyTime> override {
    return m_Clock.steadyNow() < m_LinkFreeAt ? m_Clock.steadyNow() : m_LastHeardAt;
  }

private:
  static auto sizeOf(const keyvalue::ListResult &Result) -> std::size_t {
    auto Bytes = std::size_t{0};
    for (const auto &Item : Result.m_Items) {
      Bytes += Item.m_Value.size();
    }
    return Bytes;
  }
  static auto sizeOf(const keyvalue::WatchResult &Result) -> std::size_t {
    auto Bytes = std::size_t{0};
    for (const auto &Event : Result.m_Events) {
      Bytes += Event.m_Item.m_Value.size();
    }
    return Bytes;
  }
  static auto sizeOf(const std::optional<keyvalue::KeyValue> &) -> std::size_t { return 0; }

  /// When an answer has come through the link, behind those before it.
  auto arrivalOf(std::size_t Bytes) -> base::SteadyTime {
    auto Arrival = m_Clock.steadyNow() + Latency;
    if (m_BytesPerMs > 0) {
      const auto Time = std::chrono::milliseconds(static_cast<std::int64_t>(Bytes) / m_BytesPerMs);
      m_LinkFreeAt = std::max(m_LinkFreeAt, m_Clock.steadyNow()) + Time;
      Arrival = std::max(Arrival, m_LinkFreeAt);
    }
    return Arrival;
  }

  base::SteadyTime m_LinkFreeAt;
  std::optional<base::SteadyTime> m_LastHeardAt;

  static constexpr auto Latency = std::chrono::milliseconds(2);
  static constexpr auto Timeout = std::chrono::milliseconds(800);

  /// Sends a call that is answered when Compute first returns a result, at the latest after the
  /// wait.
  template <typename Result>
  auto call(std::chrono::milliseconds Wait, std::function<void(absl::StatusOr<Result>)> Done,
            std::function<std::optional<Result>()> Compute, const std::string &Prefix = {})
      -> void {
    ++m_Calls;
    struct Call {
      std::function<void(absl::StatusOr<Result>)> m_Done;
      bool m_IsAnswered = false;
      bool m_IsArriving = false;
    };
    auto Item = std::make_shared<Call>();
    Item->m_Done = std::move(Done);
    const auto Finish = [this, Item](absl::StatusOr<Result> Value) {
      if (!std::exchange(Item->m_IsAnswered, true)) {
        m_ProcessTimers.start(m_Clock.steadyNow(),
                              [Item, Value = std::move(Value)] { Item->m_Done(Value); });
      }
    };
    const auto Fail = [Finish] { Finish(absl::UnavailableError("no response")); };
    // As long as parts of the answer arrive, the call goes on.
    const auto FailUnanswered = [this, Fail, Item] {
      if (!Item->m_IsArriving || m_Access == StoreAccess::Silent) {
        Fail();
      }
    };
    m_Timers.start(m_Clock.steadyNow() + Wait + Timeout, FailUnanswered);
    if (m_Access == StoreAccess::Reset || m_Access == StoreAccess::TurnedAway) {
      m_Timers.start(m_Clock.steadyNow() + Latency, Fail);
      return;
    }
    if (m_Access == StoreAccess::Silent) {
      return;
    }
    m_OpenCalls.push_back(Fail);
    const auto TryAnswer = [this, Compute, Finish, Item] {
      if (Item->m_IsAnswered || m_Access == StoreAccess::Silent) {
        return false;
      }
      auto Value = Compute();
      if (Value) {
        const auto Arrival = arrivalOf(sizeOf(*Value));
        Item->m_IsArriving = Arrival > m_Clock.steadyNow() + Latency;
        m_Timers.start(Arrival, [this, Finish, Value = std::move(*Value)] {
          m_LastHeardAt = m_Clock.steadyNow();
          if (m_Access != StoreAccess::Silent) {
            Finish(Value);
          }
        });
      }
      return Value.has_value();
    };
    m_Timers.start(m_Clock.steadyNow() + Latency, [this, TryAnswer, Wait, Prefix] {
      if (!TryAnswer() && Wait.count() > 0) {
        m_Store.m_Waiters.push_back({Prefix, 0, TryAnswer});
        m_Timers.start(m_Clock.steadyNow() + Wait, [TryAnswer] { TryAnswer(); });
      }
    });
    if (m_OpenCalls.size() > MaxOpenCalls) {
      m_OpenCalls.erase(m_OpenCalls.begin());
    }
  }

  /// Newer calls have all older ones answered or timed out.
  static constexpr auto MaxOpenCalls = std::size_t{16};

  PlayedStore &m_Store;
  base::ITimers &m_Timers;
  base::ITimers &m_ProcessTimers;
  const base::IClock &m_Clock;
  StoreAccess m_Access = StoreAccess::Normal;
  std::vector<std::function<void()>> m_OpenCalls;
};

} // namespace geraniumlift::router::tests
