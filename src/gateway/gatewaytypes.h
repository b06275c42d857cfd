#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::gateway {

/// A caller's HTTP request, independent of the HTTP library.
struct CallerRequest {
  std::string m_Method;

  /// Path without query, decoded.
  std::string m_Path;

  /// Path and query as received; service calls and forwarded requests use them.
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

/// An HTTP response that is sent in one piece.
struct CallerResponse {
  std::int64_t m_Status = 200;
  std::string m_ContentType = "application/json";
  std::string m_Body;
  std::map<std::string, std::string> m_Headers;
};

/// A router address in the response to GET /v1/entry.
struct EntryAddress {
  std::string m_Url;
  std::string m_DataCentre;
};

/// A router that can take a forwarded request.
struct PeerAddress {
  base::HolderId m_Holder;
  std::string m_Url;
};

/// Result of forwarding a request to a peer.
enum class ForwardOutcome {
  /// The peer responded and its response was passed to the caller, completely or as an aborted
  /// stream.
  Answered,
  /// The peer could not be reached; it did not see the request.
  NotSent,
  /// The connection failed after the request was sent and before a response was received.
  Lost,
};

} // namespace geraniumlift::gateway
