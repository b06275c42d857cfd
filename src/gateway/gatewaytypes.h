#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::gateway {

/// A caller's HTTP request as the pipeline sees it, independent of the HTTP library.
struct CallerRequest {
  std::string m_Method;

  /// Path without query, decoded.
  std::string m_Path;

  /// Path and query as received, for services.
  std::string m_Target;

  /// Header fields by lower-case name.
  std::map<std::string, std::string, std::less<>> m_Headers;
  std::string m_Body;

  /// Returns a header's value, empty if it is missing.
  [[nodiscard]] auto header(std::string_view Name) const -> std::string {
    const auto Found = m_Headers.find(Name);
    return Found == m_Headers.end() ? std::string() : Found->second;
  }
};

/// A whole HTTP answer.
struct CallerResponse {
  std::int64_t m_Status = 200;
  std::string m_ContentType = "application/json";
  std::string m_Body;
  std::map<std::string, std::string> m_Headers;
};

/// An address in the answer to "which VM".
struct EntryAddress {
  std::string m_Url;
  std::string m_DataCentre;
};

/// A router that can take a forwarded request.
struct PeerAddress {
  base::HolderId m_Holder;
  std::string m_Url;
};

/// What became of a forwarded request.
enum class ForwardOutcome {
  /// The peer answered and its answer went to the caller.
  Answered,
  /// The peer could not be reached; it did not see the request.
  NotSent,
  /// The connection failed after the request was sent and before an answer began.
  Lost,
};

} // namespace geraniumlift::gateway
