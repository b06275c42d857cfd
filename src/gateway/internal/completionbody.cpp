#include "gateway/internal/completionbody.h"

#include "base/hashing.h"

#include <cpprest/json.h>
#include <fmt/format.h>

namespace geraniumlift::gateway {

namespace {

constexpr base::Tokens DefaultMaxTokens = 256;
constexpr base::Tokens MaxTokensLimit = 32'768;

/// Number of leading bytes of the messages that are hashed. System prompts are shared between
/// requests and come first; this length is enough to distinguish them.
constexpr std::size_t PrefixBytes = 512;

auto readModel(const web::json::value &Json, CompletionBody &Body) -> absl::Status {
  if (!Json.has_string_field("model")) {
    return absl::InvalidArgumentError("The field model must be a string.");
  }
  Body.m_Model = Json.at("model").as_string();
  return absl::OkStatus();
}

auto readStream(const web::json::value &Json, CompletionBody &Body) -> absl::Status {
  if (!Json.has_field("stream")) {
    return absl::OkStatus();
  }
  if (!Json.at("stream").is_boolean()) {
    return absl::InvalidArgumentError("The field stream must be true or false.");
  }
  Body.m_Stream = Json.at("stream").as_bool();
  return absl::OkStatus();
}

auto readMaxTokens(const web::json::value &Json, CompletionBody &Body) -> absl::Status {
  Body.m_MaxTokens = DefaultMaxTokens;
  if (!Json.has_field("max_tokens")) {
    return absl::OkStatus();
  }
  const auto &Field = Json.at("max_tokens");
  if (!Field.is_integer() || !Field.as_number().is_int64() || Field.as_number().to_int64() < 1 ||
      Field.as_number().to_int64() > MaxTokensLimit) {
    return absl::InvalidArgumentError(
        fmt::format("The field max_tokens must be a whole number from 1 to {}.", MaxTokensLimit));
  }
  Body.m_MaxTokens = Field.as_number().to_int64();
  return absl::OkStatus();
}

auto readMessages(const web::json::value &Json, CompletionBody &Body) -> absl::Status {
  if (!Json.has_array_field("messages") || Json.at("messages").size() == 0) {
    return absl::InvalidArgumentError("The field messages must be an array that is not empty.");
  }
  const auto Text = Json.at("messages").serialize();
  Body.m_PromptTokens = static_cast<base::Tokens>(Text.size());
  Body.m_PrefixHash = base::hash64(std::string_view(Text).substr(0, PrefixBytes));
  return absl::OkStatus();
}

using FieldReader = absl::Status (*)(const web::json::value &, CompletionBody &);
constexpr auto FieldReaders =
    std::array<FieldReader, 4>{readModel, readStream, readMaxTokens, readMessages};

} // namespace

auto parseCompletionBody(const std::string &Body) -> absl::StatusOr<CompletionBody> {
  try {
    auto Json = web::json::value::parse(Body);
    if (!Json.is_object()) {
      return absl::InvalidArgumentError("The body must be a JSON object.");
    }
    auto Result = CompletionBody();
    for (const auto Read : FieldReaders) {
      if (const auto Status = Read(Json, Result); !Status.ok()) {
        return Status;
      }
    }
    Json["stream"] = web::json::value(true);
    Json["max_tokens"] = web::json::value(Result.m_MaxTokens);
    Result.m_EngineBody = Json.serialize();
    return Result;
  } catch (const std::exception &) {
    return absl::InvalidArgumentError("The body is not valid JSON.");
  }
}

} // namespace geraniumlift::gateway
