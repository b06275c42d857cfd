#pragma once

#include "claims/internal/claimoperation.h"
#include "claims/internal/leasecache.h"

#include <functional>
#include <memory>

namespace geraniumlift::claims::internal {

/// Executes the commands of one operation against the key-value service. The runner keeps itself
/// alive until the operation has finished. Used on the scheduler thread only.
class OperationRunner final : public std::enable_shared_from_this<OperationRunner> {
public:
  using Callback = std::function<void(FinishOperation)>;

  /// LeaseDeadline is the time at which an operation that has no lease and has not written anything
  /// yet fails.
  OperationRunner(std::string Key, std::unique_ptr<ClaimOperation> Operation,
                  base::SteadyTime LeaseDeadline, std::shared_ptr<LeaseCache> Leases,
                  keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
                  const base::IClock &Clock, Callback Done);

  auto start() -> void;

private:
  auto execute(ClaimCommand Command) -> void;
  auto executeCommand(const WriteClaim &Command) -> void;
  auto executeCommand(const EraseClaim &Command) -> void;
  auto executeCommand(const ReadClaim &Command) -> void;
  auto executeCommand(const WaitForRetry &Command) -> void;
  auto executeCommand(const FinishOperation &Command) -> void;

  auto write(const WriteClaim &Command, keyvalue::LeaseId Lease) -> void;
  auto onNoLease(const WriteClaim &Command) -> void;
  auto onWritten(const keyvalue::WriteResult &Result) -> void;
  auto onRead(const absl::StatusOr<std::optional<keyvalue::KeyValue>> &Found) -> void;
  auto onFound(const std::optional<keyvalue::KeyValue> &Found) -> void;

  /// Returns a store callback that runs a member function on the scheduler thread.
  template <typename Result>
  auto onSchedulerThread(auto(OperationRunner::*Member)(const Result &)->void)
      -> std::function<void(Result)>;

  std::string m_Key;
  std::unique_ptr<ClaimOperation> m_Operation;
  base::SteadyTime m_LeaseDeadline;
  std::shared_ptr<LeaseCache> m_Leases;
  keyvalue::IKeyValueStore &m_Store;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  Callback m_Done;
  bool m_HasWritten = false;
};

} // namespace geraniumlift::claims::internal
