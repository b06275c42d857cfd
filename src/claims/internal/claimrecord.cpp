#include "claims/claimrecord.h"

#include "base/hashing.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <exception>
#include <fmt/format.h>
#include <sstream>

namespace geraniumlift::claims {

namespace {

/// The fields of a claim that are converted to text for storage. The JSON object is flat, so that
/// valid claims never need nested input.
struct EncodedFields {
  std::string m_State;
  std::string m_Body;
};

template <typename Archive>
auto serializeFields(Archive &Data, ClaimRecord &Record, EncodedFields &Text) -> void {
  Data(cereal::make_nvp("state", Text.m_State), cereal::make_nvp("vm", Record.m_Owner.m_Vm),
       cereal::make_nvp("incarnation", Record.m_Owner.m_Incarnation),
       cereal::make_nvp("attempt", Record.m_Attempt),
       cereal::make_nvp("request_hash", Record.m_RequestHash),
       cereal::make_nvp("status", Record.m_Response.m_Status),
       cereal::make_nvp("content_type_base64", Record.m_Response.m_ContentType),
       cereal::make_nvp("body_base64", Text.m_Body),
       cereal::make_nvp("body_omitted", Record.m_Response.m_BodyOmitted));
}

/// Rejects nested input before parsing, because the parser is recursive. A claim has no arrays and
/// no nested objects.
auto isFlatJson(std::string_view Text) -> bool {
  constexpr auto OuterObject = 1;
  return std::count(Text.begin(), Text.end(), '{') <= OuterObject &&
         std::count(Text.begin(), Text.end(), '[') == 0;
}

} // namespace

auto claimKey(std::string_view Workspace, std::string_view IdempotencyKey) -> std::string {
  return fmt::format("geraniumlift/claim/{}/{}", Workspace, base::sha256Hex(IdempotencyKey));
}

auto encodeClaim(const ClaimRecord &Record) -> std::string {
  auto Copy = Record;
  Copy.m_Response.m_ContentType = absl::Base64Escape(Record.m_Response.m_ContentType);
  auto Text = EncodedFields{std::string(base::nameOf(ClaimStateNames, Record.m_State)),
                            absl::Base64Escape(Record.m_Response.m_Body)};
  auto Output = std::ostringstream();
  {
    auto Data = cereal::JSONOutputArchive(Output, cereal::JSONOutputArchive::Options::NoIndent());
    serializeFields(Data, Copy, Text);
  }
  return Output.str();
}

auto decodeClaim(std::string_view Input) -> absl::StatusOr<ClaimRecord> {
  auto Record = ClaimRecord();
  auto Text = EncodedFields();
  if (!isFlatJson(Input)) {
    return absl::InvalidArgumentError("the claim is not a flat JSON object");
  }
  try {
    auto Stream = std::istringstream(std::string(Input));
    auto Data = cereal::JSONInputArchive(Stream);
    serializeFields(Data, Record, Text);
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(fmt::format("the claim can't be parsed: {}", Error.what()));
  }
  const auto State = base::valueOf(ClaimStateNames, Text.m_State);
  auto ContentType = std::string();
  if (!State || !absl::Base64Unescape(Text.m_Body, &Record.m_Response.m_Body) ||
      !absl::Base64Unescape(Record.m_Response.m_ContentType, &ContentType)) {
    return absl::InvalidArgumentError(
        "the claim has an unknown state or a field that is not valid Base64");
  }
  Record.m_State = *State;
  Record.m_Response.m_ContentType = ContentType;
  return Record;
}

} // namespace geraniumlift::claims
