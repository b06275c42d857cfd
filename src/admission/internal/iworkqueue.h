#pragma once

#include "admission/dispatcheroptions.h"
#include "admission/dispatchtypes.h"

#include <memory>
#include <optional>

namespace geraniumlift::admission {

/// Selects the waiting requests that peek() considers.
enum class EntryFilter { Any, ShortOnly };

/// A waiting request with the properties that the order of a queue depends on.
struct QueueEntry {
  WorkId m_Id = 0;
  std::string m_Workspace;
  double m_WorkspaceWeight = 1.0;
  std::string m_PriorityClass;
  std::int64_t m_PriorityLevel = 0;
  double m_ClassGuaranteedShare = 0.0;

  /// Tokens that the request is expected to use, prompt and answer.
  double m_CostTokens = 0.0;

  /// Expected time on a slot, in seconds.
  double m_RunSeconds = 0.0;

  /// Whether the request is expected to be short.
  bool m_Short = false;
  base::SteadyTime m_Deadline;
};

/// The waiting requests of one pool.
class IWorkQueue {
public:
  virtual ~IWorkQueue() = default;

  virtual auto push(QueueEntry Entry) -> void = 0;

  /// Returns the next request to dispatch without removing it; empty if none matches the filter.
  virtual auto peek(EntryFilter Filter) -> std::optional<WorkId> = 0;

  /// Removes a request that is dispatched, and charges it to its workspace and class if the queue
  /// keeps shares. Unknown requests are ignored.
  virtual auto removeAndCharge(WorkId Id) -> void = 0;

  /// Removes a request that is not dispatched. Unknown requests are ignored.
  virtual auto remove(WorkId Id) -> void = 0;

  /// Expected slot seconds of the waiting requests that would be dispatched before the given
  /// one.
  [[nodiscard]] virtual auto slotSecondsAhead(const QueueEntry &Entry) const -> double = 0;

  [[nodiscard]] virtual auto size() const -> std::size_t = 0;
};

/// Creates an empty queue with the given strategy.
auto makeWorkQueue(QueueStrategy Strategy) -> std::unique_ptr<IWorkQueue>;

} // namespace geraniumlift::admission
