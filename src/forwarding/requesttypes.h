#pragma once

#include "forwarding/routetypes.h"
#include "http1/messagetypes.h"

#include <optional>

namespace geraniumlift::forwarding {

/// A part of a prompt that several requests may share.
struct PromptPart {
  std::string m_Id;
  Tokens m_Tokens = 0;
};

/// What a request says of its size. The parts are in order; the last belongs to the request alone.
struct PromptMetadata {
  Tokens m_PromptTokens = 0;
  Tokens m_OutputLimit = 0;
  std::vector<PromptPart> m_Parts;

  [[nodiscard]] auto worstCase() const -> Tokens { return m_PromptTokens + m_OutputLimit; }
};

/// The fields of a request that decide how it is served.
struct RequestFields {
  std::string m_RequestId;
  std::string m_Host;
  std::string m_ApiKey;

  /// How long the caller still waits.
  std::optional<std::chrono::milliseconds> m_TimeLeft;
  std::optional<PromptMetadata> m_Prompt;

  /// The caller already has the events up to this one.
  std::optional<std::uint64_t> m_LastEventId;
};

/// What the router tells a target beside the caller's request.
struct TargetFields {
  /// The target that is meant; another one at the same address must refuse.
  std::string m_TargetId;
  std::string m_Workspace;
  std::chrono::milliseconds m_TimeLeft{0};

  /// 0 is the most urgent, 9 the least. Only engines take it.
  std::optional<int> m_Urgency;

  /// The target is to go on after this event.
  std::optional<std::uint64_t> m_ResumeAfter;
};

/// What the header of a target's answer says.
struct ResponseMetadata {
  std::string m_RequestId;

  /// The target signed its answer.
  bool m_IsSigned = false;

  /// The target states that it did not run the request.
  bool m_DidNotRun = false;

  /// Another target has the address now.
  bool m_IsWrongTarget = false;

  /// The body is encoded although no encoding was asked for.
  bool m_IsEncoded = false;
};

/// Translates between header fields and what they mean. One implementation speaks one protocol.
class IHeaderCodec {
public:
  virtual ~IHeaderCodec() = default;

  /// Reads the fields of a caller's request. Malformed optional fields count as absent.
  [[nodiscard]] virtual auto decodeRequest(const http1::RequestHead &Head) const
      -> RequestFields = 0;

  /// Turns the header of a caller's request into that of the request to a target.
  virtual auto prepareForTarget(http1::RequestHead &Head, const TargetFields &Fields) const
      -> void = 0;

  [[nodiscard]] virtual auto decodeResponse(const http1::ResponseHead &Head) const
      -> ResponseMetadata = 0;

  /// Marks an answer of the router itself with the ID of the caller's request.
  virtual auto markRouterResponse(http1::ResponseHead &Head, const std::string &RequestId) const
      -> void = 0;
};

} // namespace geraniumlift::forwarding
