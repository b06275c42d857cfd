#include "objects/internal/jsondocument.h"

#include <charconv>

namespace geraniumlift::objects::internal {

namespace {

/// Parses the whole text as one number; returns false if it does not fit the type.
template <typename Number>
auto parseNumber(std::string_view Text, Number &Out) -> bool {
  const auto *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Out);
  return Error == std::errc() && Rest == End;
}

} // namespace

auto JsonDocument::parse(std::string_view Text) -> bool {
  constexpr auto Flags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag |
                         rapidjson::kParseNumbersAsStringsFlag;
  auto Stream = rapidjson::MemoryStream(Text.data(), Text.size());
  auto Reader = rapidjson::Reader();
  auto IsValid = false;
  auto Generate = [&](rapidjson::Document & /*Base*/) {
    IsValid = !Reader.Parse<Flags>(Stream, *this).IsError();
    return IsValid;
  };
  Populate(Generate);
  return IsValid && IsObject();
}

auto JsonDocument::RawNumber(const char *Text, rapidjson::SizeType Size, bool /*Copy*/) -> bool {
  const auto Number = std::string_view(Text, Size);
  auto Integer = std::int64_t{0};
  if (parseNumber(Number, Integer)) {
    return Int64(Integer);
  }
  auto Floating = 0.0;
  return parseNumber(Number, Floating) && Double(Floating);
}

} // namespace geraniumlift::objects::internal
