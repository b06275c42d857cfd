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

/// A request as it is sent.
struct HttpRequest {
  std::string m_Url;
  std::string m_Method;

  /// Path and query, encoded.
  std::string m_Path;
  std::vector<HttpHeader> m_Headers;
  std::string m_ContentType;
  std::string m_Body;
};

/// Status line and headers of a response.
struct HttpResponseHead {
  std::int64_t m_Status = 0;
  std::string m_ContentType;

  /// X-Not-Run: true
  bool m_NotRun = false;

  /// X-Leaving: true
  bool m_Leaving = false;
};

/// How an exchange ended.
struct HttpEnd {
  /// Whether the response was read to its end. Its length is known from its framing.
  bool m_Complete = false;

  /// Ran or DidNotRun after a whole response, else DidNotRun or MayHaveRun.
  base::Verdict m_Verdict = base::Verdict::MayHaveRun;

  /// A plain sentence on what failed.
  std::string m_Detail;
};

} // namespace geraniumlift::targets
