#pragma once

#include "base/identifiers.h"

#include <absl/status/statusor.h>
#include <string>

namespace geraniumlift::gateway {

/// What the router needs to know of a chat completion's body.
struct CompletionBody {
  std::string m_Model;
  bool m_Stream = false;
  base::Tokens m_MaxTokens = 0;

  /// An upper bound: a token covers at least one byte of the messages.
  base::Tokens m_PromptTokens = 0;

  /// Hash of the first bytes of the messages, which engines may have in their prefix cache.
  std::uint64_t m_PrefixHash = 0;

  /// The body for the engine: always streamed, with the token limit stated.
  std::string m_EngineBody;
};

/// Reads and checks a chat completion's body. InvalidArgument says what is wrong with it.
auto parseCompletionBody(const std::string &Body) -> absl::StatusOr<CompletionBody>;

} // namespace geraniumlift::gateway
