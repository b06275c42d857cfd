#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"
#include "base/refusal.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::admission {

/// Identifies a request within one router process.
using WorkId = std::uint64_t;

/// A target as the operators' objects and the VM list describe it.
struct TargetInfo {
  std::string m_Name;
  std::string m_Pool;
  std::string m_DataCentre;

  /// Requests that the target runs concurrently, for all routers together.
  std::int64_t m_Slots = 8;
  bool m_Leaving = false;
};

/// A request that waits for a target.
struct WorkItem {
  WorkId m_Id = 0;
  std::string m_Pool;
  std::string m_Workspace;
  double m_WorkspaceWeight = 1.0;
  std::string m_PriorityClass;

  /// Level of the priority class; lower is served first.
  std::int64_t m_PriorityLevel = 0;

  /// Share of the pool's tokens that the priority class is guaranteed, 0 to 1.
  double m_ClassGuaranteedShare = 0.0;

  /// Size of the prompt and the caller's limit on the answer, in tokens.
  base::Tokens m_PromptTokens = 0;
  base::Tokens m_MaxTokens = 0;

  /// Hash of the prompt's first bytes, for prefix affinity; 0 if there is none.
  std::uint64_t m_PrefixHash = 0;
  bool m_Idempotent = true;
  base::SteadyTime m_Deadline;
};

/// Decision to send a request to a target now.
struct Dispatch {
  WorkId m_Id = 0;
  std::string m_Target;

  /// Priority to pass to the target, for its own queue; lower is served first.
  std::int64_t m_TargetPriority = 0;
};

/// Decision to give up a waiting request.
struct Rejection {
  WorkId m_Id = 0;
  base::Refusal m_Refusal;
};

/// Decisions of one poll.
struct PollResult {
  std::vector<Dispatch> m_Dispatches;
  std::vector<Rejection> m_Rejections;

  /// When to poll again even if no event occurs; empty if only an event can lead to a decision.
  std::optional<base::SteadyTime> m_NextPoll = std::nullopt;
};

/// How an attempt on a target ended.
struct AttemptEnd {
  bool m_Success = false;
  base::Verdict m_Verdict = base::Verdict::Ran;

  /// Whether the target said that it is leaving.
  bool m_TargetLeaving = false;
};

/// A target's report of its load. Its age is the time since the target measured it.
struct LoadReport {
  std::string m_Target;
  std::int64_t m_Running = 0;
  std::int64_t m_Waiting = 0;
  std::chrono::milliseconds m_Age{0};
};

/// Reports a prefix that a target's cache has gained or lost. Events arrive late, and some are
/// lost.
struct CacheEvent {
  std::string m_Target;
  std::uint64_t m_PrefixHash = 0;
  bool m_Cached = true;
};

} // namespace geraniumlift::admission
