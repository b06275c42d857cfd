#pragma once

#include "base/iclock.h"
#include "keyvalue/transactiontypes.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace geraniumlift::keyvalue {

/// A key-value service with watches and with transactions over several keys. Calls do not block;
/// each callback runs exactly once, after the call has returned, on the caller's thread.
class ITransactionStore {
public:
  using TransactionCallback = std::function<void(TransactionResult)>;
  using ListCallback = std::function<void(absl::StatusOr<ListResult>)>;
  using ReadCallback = std::function<void(absl::StatusOr<std::optional<KeyValue>>)>;
  using WatchCallback = std::function<void(absl::StatusOr<WatchResult>)>;
  using LeaseCallback = std::function<void(absl::StatusOr<LeaseId>)>;
  using StatusCallback = std::function<void(absl::Status)>;

  virtual ~ITransactionStore() = default;

  /// Applies all writes and removals together if every condition holds.
  virtual auto transact(Transaction Request, TransactionCallback Done) -> void = 0;

  /// Reads all keys that begin with the prefix.
  virtual auto list(std::string Prefix, ListCallback Done) -> void = 0;

  /// Reads a key at a lower cost to the store; the value may be seconds old. Gives nullopt if the
  /// key does not exist.
  virtual auto readStale(std::string Key, ReadCallback Done) -> void = 0;

  /// Waits for changes after the given revision. OutOfRange means that the store has dropped that
  /// part of its history and the keys must be listed again. The result has no events if nothing
  /// changed within the wait.
  virtual auto watch(std::string Prefix, std::int64_t After, std::chrono::milliseconds Wait,
                     WatchCallback Done) -> void = 0;

  /// Opens a lease that ends after the time to live unless it is kept alive.
  virtual auto grantLease(std::chrono::milliseconds TimeToLive, LeaseCallback Done) -> void = 0;

  /// When a part of a successful answer last arrived, of a call that may still be under way;
  /// nothing if that is not known.
  [[nodiscard]] virtual auto lastHeardAt() const -> std::optional<base::SteadyTime> {
    return std::nullopt;
  }

  /// Renews a lease. NotFound means that it has ended.
  virtual auto keepAlive(LeaseId Lease, StatusCallback Done) -> void = 0;
};

} // namespace geraniumlift::keyvalue
