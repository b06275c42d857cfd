#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"
#include "base/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace geraniumlift::targets {

/// Tokens that an engine reports for a finished request.
struct Usage {
  base::Tokens m_PromptTokens = 0;
  base::Tokens m_CompletionTokens = 0;
};

/// A completion to stream from an engine.
struct StreamRequest {
  base::RequestId m_RequestId;

  /// Base URL of the engine.
  std::string m_Url;

  /// The OpenAI-compatible request body with "stream": true.
  std::string m_Body;
  std::string m_TraceParent;

  /// The stream fails once this time has passed. The remaining time is sent in X-Deadline-Ms.
  base::SteadyTime m_Deadline;

  /// Priority level of the request's class, sent in X-Priority.
  std::int64_t m_Priority = 0;
};

/// One event of a stream. Offsets count events from 0 without gaps.
struct StreamEvent {
  std::uint64_t m_Offset = 0;

  /// The JSON text of the event as the engine sent it, without the "data: " prefix.
  std::string m_Data;
};

/// Outcome of a stream. Only a complete stream may be presented to the caller as a whole answer.
struct StreamEnd {
  bool m_Complete = false;
  base::Verdict m_Verdict = base::Verdict::MayHaveRun;

  /// HTTP status of the engine, 0 if none was read.
  std::int64_t m_Status = 0;

  /// Whether the engine sent X-Leaving: true.
  bool m_TargetLeaving = false;

  /// Token counts of a complete stream, if the engine reported them.
  std::optional<Usage> m_Usage = std::nullopt;

  /// Describes the failure in one sentence; empty after a complete stream.
  std::string m_Detail;
};

/// A request to a plain service.
struct ServiceRequest {
  base::RequestId m_RequestId;
  std::string m_Url;
  std::string m_Method;
  std::string m_Path;
  std::string m_ContentType;
  std::string m_Body;
  std::string m_IdempotencyKey;
  std::string m_TraceParent;
  base::SteadyTime m_Deadline;

  /// Whether the request may be sent on a pooled connection and repeated after a failure.
  bool m_Idempotent = false;
};

/// Outcome of a call of a plain service.
struct ServiceResult {
  base::Verdict m_Verdict = base::Verdict::MayHaveRun;

  /// HTTP status of the service, 0 if no whole response was read.
  std::int64_t m_Status = 0;
  std::string m_ContentType;
  std::string m_Body;
  bool m_TargetLeaving = false;
  std::string m_Detail;
};

/// Load as the engine reports it. The report is m_Age old when it is sent.
struct EngineLoad {
  std::int64_t m_RunningRequests = 0;
  std::int64_t m_WaitingRequests = 0;

  /// Age of the report as stated by the engine; 0 if it states none.
  std::chrono::milliseconds m_Age{0};
  bool m_Leaving = false;
};

} // namespace geraniumlift::targets
