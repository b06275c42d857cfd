#pragma once

#include "keyvalue/keyvaluetypes.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace geraniumlift::keyvalue {

/// The platform's key-value service. Calls do not block; each callback runs exactly once, on any
/// thread, and not later than the client's call timeout. Callbacks must not block.
class IKeyValueStore {
public:
  using ReadCallback = std::function<void(absl::StatusOr<std::optional<KeyValue>>)>;
  using ListCallback = std::function<void(absl::StatusOr<std::vector<KeyValue>>)>;
  using WriteCallback = std::function<void(WriteResult)>;
  using LeaseCallback = std::function<void(absl::StatusOr<LeaseId>)>;
  using StatusCallback = std::function<void(absl::Status)>;

  virtual ~IKeyValueStore() = default;

  /// Reads one key; nullopt if it does not exist.
  virtual auto read(std::string Key, ReadCallback Done) -> void = 0;

  /// Reads all keys that begin with the prefix, in key order.
  virtual auto list(std::string Prefix, ListCallback Done) -> void = 0;

  /// Writes a key if it was last written at the expected revision.
  virtual auto compareAndSwap(CompareAndSwap Request, WriteCallback Done) -> void = 0;

  /// Removes a key if it was last written at the expected revision.
  virtual auto compareAndErase(std::string Key, std::int64_t ExpectedModRevision,
                               WriteCallback Done) -> void = 0;

  /// Opens a lease that ends after the time to live unless it is kept alive.
  virtual auto grantLease(std::chrono::seconds TimeToLive, LeaseCallback Done) -> void = 0;

  /// Renews a lease. NotFound means that it has ended.
  virtual auto keepAlive(LeaseId Lease, StatusCallback Done) -> void = 0;

  /// Ends a lease and removes its keys.
  virtual auto revokeLease(LeaseId Lease, StatusCallback Done) -> void = 0;
};

} // namespace geraniumlift::keyvalue
