#pragma once

#include "forwarding/routetypes.h"
#include "http1/messagetypes.h"

#include <optional>

namespace geraniumlift::forwarding {

/// A part of a prompt that several requests may have in common.
struct PromptPart {
  std::string m_Id;
  Tokens m_Tokens = 0;
};

/// Prompt size and output limit of a request. The parts are in prompt order; the last one is not
/// shared with other requests.
struct PromptMetadata {
  Tokens m_PromptTokens = 0;
  Tokens m_OutputLimit = 0;
  std::vector<PromptPart> m_Parts;

  /// Largest number of tokens that the request can use.
  [[nodiscard]] auto worstCase() const -> Tokens { return m_PromptTokens + m_OutputLimit; }

  /// IDs of the parts that other requests may share.
  [[nodiscard]] auto sharedPartIds() const -> std::vector<std::string> {
    auto Ids = std::vector<std::string>();
    for (std::size_t Index = 0; Index + 1 < m_Parts.size(); ++Index) {
      Ids.push_back(m_Parts[Index].m_Id);
    }
    return Ids;
  }
};

/// Decoded header fields of a caller's request.
struct RequestFields {
  std::string m_RequestId;
  std::string m_Host;
  std::string m_ApiKey;

  /// How long the caller will still wait, if it says so.
  std::optional<std::chrono::milliseconds> m_TimeLeft;

  /// Absent for requests without a prompt.
  std::optional<PromptMetadata> m_Prompt;

  /// ID of the last event that the caller has received, if it resumes a stream.
  std::optional<std::uint64_t> m_LastEventId;

  /// ID of the request that began the stream that the caller takes up; empty if it takes up none or
  /// does not say.
  std::string m_BegunBy;
};

/// Header fields that the router adds to a request to a target.
struct TargetFields {
  /// ID of the intended target; another target at the same address must refuse the request.
  std::string m_TargetId;
  std::string m_Workspace;
  std::chrono::milliseconds m_TimeLeft{0};

  /// 0 is the most urgent, 9 the least. Set only for requests with a prompt.
  std::optional<int> m_Urgency;

  /// ID of the event after which the target is to resume the stream.
  std::optional<std::uint64_t> m_ResumeAfter;
};

/// Decoded header fields of a target's response.
struct ResponseMetadata {
  std::string m_RequestId;

  /// The response carries the target's signature.
  bool m_IsSigned = false;

  /// The target states that it did not run the request.
  bool m_DidNotRun = false;

  /// The response came from another target that now has the address.
  bool m_IsWrongTarget = false;

  /// The body has a content encoding although none was requested.
  bool m_IsEncoded = false;

  /// Requests a second that the target takes from all routers together, if it names a limit.
  std::optional<double> m_RequestsPerSecond;

  /// Requests that the target can turn away within a second without falling over, if it says that
  /// it is brittle.
  std::optional<double> m_MaxRejections;

  /// The target states that it is leaving.
  bool m_IsLeaving = false;

  /// Time for which the target wants no requests from this router; set only in a response that
  /// turns the request away.
  std::optional<std::chrono::milliseconds> m_Pause;

  /// A field about leaving or pausing has a value without a meaning, and is ignored.
  bool m_HasUnreadableSignal = false;
};

/// Decodes and encodes the header fields of one protocol.
class IHeaderCodec {
public:
  virtual ~IHeaderCodec() = default;

  /// Decodes the header of a caller's request. Malformed optional fields are treated as absent.
  [[nodiscard]] virtual auto decodeRequest(const http1::RequestHead &Head) const
      -> RequestFields = 0;

  /// Changes the header of a caller's request in place into that of the request to a target.
  virtual auto prepareForTarget(http1::RequestHead &Head, const TargetFields &Fields) const
      -> void = 0;

  /// Decodes the header of a target's response.
  [[nodiscard]] virtual auto decodeResponse(const http1::ResponseHead &Head) const
      -> ResponseMetadata = 0;

  /// Adds the ID of the caller's request to a response of the router itself.
  virtual auto markRouterResponse(http1::ResponseHead &Head, const std::string &RequestId) const
      -> void = 0;
};

} // namespace geraniumlift::forwarding
