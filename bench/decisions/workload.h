#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace geraniumlift::bench {

/// A pool of equal fake targets. Engines have a time per token, services a fixed time per call.
struct PoolSpec {
  std::string m_Name;
  std::int64_t m_Targets = 0;
  std::int64_t m_Slots = 0;
  bool m_Idempotent = true;
  double m_SecondsPerToken = 0.0;
  double m_PromptTokensPerSecond = 0.0;
  double m_SecondsPerCall = 0.0;

  /// Prefixes that a target keeps; the one used longest ago goes first.
  std::int64_t m_PrefixCache = 0;
};

struct ClassSpec {
  std::string m_Name;
  std::int64_t m_Level = 0;
  double m_GuaranteedShare = 0.0;
};

struct WorkspaceSpec {
  std::string m_Name;
  std::string m_Class;
  double m_Weight = 1.0;
};

/// A kind of request that a workspace sends.
struct FlowSpec {
  std::string m_Name;
  std::string m_Workspace;
  std::string m_Pool;

  /// Requests a second outside the swings.
  double m_RatePerSecond = 0.0;

  /// Whether swings multiply the rate.
  bool m_Swings = true;
  bool m_Short = false;
  bool m_Paid = false;

  /// Prompt tokens: uniform from half of the mean to one and a half times the mean.
  double m_PromptTokens = 0.0;

  /// Answer tokens: log-normal with this median and sigma; a share of stragglers is longer by the
  /// given factor. All are cut off at the caller's limit.
  double m_AnswerMedian = 0.0;
  double m_AnswerSigma = 0.0;
  double m_StragglerShare = 0.0;
  double m_StragglerFactor = 1.0;
  base::Tokens m_MaxTokens = 0;
  double m_DeadlineSeconds = 0.0;

  /// Different prompt prefixes in use, and their length.
  std::int64_t m_Prefixes = 0;
  double m_PrefixTokens = 0.0;

  /// Clients that each keep to one router for the time to live of the entry list.
  std::int64_t m_Callers = 8;
};

/// A span of time in which the rates are multiplied. Requests sent within are "at the peak".
struct SwingSpec {
  double m_StartSeconds = 0.0;
  double m_EndSeconds = 0.0;
  double m_Factor = 1.0;
};

/// Short phases in which a target is slow because of other load.
struct HiddenSlowSpec {
  double m_MeanIntervalSeconds = 0.0;
  double m_DurationSeconds = 0.0;
  double m_Factor = 1.0;
};

/// When the faults of the fault scenarios begin and end.
struct FaultSpec {
  double m_SlowStartSeconds = 0.0;
  double m_SlowEndSeconds = 0.0;
  double m_SlowShare = 0.25;
  double m_SlowFactor = 5.0;
  double m_LeaveSeconds = 0.0;

  /// Delay until the VM list tells the routers that the target leaves.
  double m_VmListLagSeconds = 0.0;
  double m_CutStartSeconds = 0.0;
  double m_CutEndSeconds = 0.0;
  double m_CutShare = 1.0 / 3.0;
};

/// How callers behave.
struct CallerSpec {
  std::int64_t m_RetriesAfterRefusal = 2;
  double m_RetryPauseSeconds = 1.0;

  /// Time after which a caller tries another router when it cannot connect.
  double m_ConnectTimeoutSeconds = 0.2;

  /// Time after which a caller takes a connection that was cut for lost.
  double m_SilenceSeconds = 1.0;
  double m_EntryListSeconds = 30.0;
};

/// A whole workload.
struct Workload {
  std::string m_Name;
  double m_DurationSeconds = 0.0;
  std::int64_t m_Routers = 9;
  std::vector<std::string> m_DataCentres;

  /// One-way latencies.
  double m_CallerLatencySeconds = 0.001;
  double m_NearLatencySeconds = 0.0002;
  double m_FarLatencySeconds = 0.0015;
  double m_ReportIntervalSeconds = 0.25;
  double m_ReportLagSeconds = 0.3;
  double m_CacheEventLagSeconds = 0.5;
  double m_CacheEventLoss = 0.1;
  std::vector<PoolSpec> m_Pools;
  std::vector<ClassSpec> m_Classes;
  std::vector<WorkspaceSpec> m_Workspaces;
  std::vector<FlowSpec> m_Flows;
  std::vector<SwingSpec> m_Swings;
  HiddenSlowSpec m_HiddenSlow;
  FaultSpec m_Faults;
  CallerSpec m_Callers;
};

} // namespace geraniumlift::bench
