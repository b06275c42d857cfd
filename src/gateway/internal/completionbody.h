#pragma once

#include "base/identifiers.h"

#include <absl/status/statusor.h>
#include <string>

namespace geraniumlift::gateway {

/// The fields of a chat completion's body that the router uses.
struct CompletionBody {
  std::string m_Model;
  bool m_Stream = false;
  base::Tokens m_MaxTokens = 0;

  /// Upper bound of the prompt's tokens: the size of the messages in bytes, because a token covers
  /// at least one byte.
  base::Tokens m_PromptTokens = 0;

  /// Hash of the first bytes of the messages, which engines may have in their prefix cache.
  std::uint64_t m_PrefixHash = 0;

  /// The body that is sent to the engine: always with streaming on and an explicit token limit.
  std::string m_EngineBody;
};

/// Parses and validates a chat completion's body. Returns InvalidArgument with a
/// description of the error.
auto parseCompletionBody(const std::string &Body) -> absl::StatusOr<CompletionBody>;

} // namespace geraniumlift::gateway
