#pragma once

#include "base/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::targets {

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

/// An HTTP request to a target.
struct HttpRequest {
  std::string m_Url;
  std::string m_Method;

  /// Percent-encoded path and query.
  std::string m_Path;
  std::vector<HttpHeader> m_Headers;
  std::string m_ContentType;
  std::string m_Body;
};

/// Status line and headers of a response.
struct HttpResponseHead {
  std::int64_t m_Status = 0;
  std::string m_ContentType;

  /// Whether the header X-Not-Run is "true": the target refused the request before running it.
  bool m_NotRun = false;

  /// Whether the header X-Leaving is "true": the target is leaving.
  bool m_Leaving = false;
};

/// Outcome of an exchange.
struct HttpEnd {
  /// Whether the response was read to the end that its framing defines.
  bool m_Complete = false;

  /// Ran or DidNotRun after a complete response, else DidNotRun or MayHaveRun.
  base::Verdict m_Verdict = base::Verdict::MayHaveRun;

  /// Describes the failure in one sentence; empty after a complete response.
  std::string m_Detail;
};

} // namespace geraniumlift::targets
