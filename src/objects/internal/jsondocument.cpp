#include "objects/internal/jsondocument.h"

#include <charconv>

namespace geraniumlift::objects::internal {

namespace {

/// Reads the whole text as one number; false if it does not fit the type.
template <typename Number>
auto readWhole(std::string_view Text, Number &Out) -> bool {
  const auto *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Out);
  return Error == std::errc() && Rest == End;
}

} // namespace

auto ExactDocument::parse(std::string_view Text) -> bool {
  constexpr auto Flags = rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag |
                         rapidjson::kParseNumbersAsStringsFlag;
  auto Stream = rapidjson::MemoryStream(Text.data(), Text.size());
  auto Reader = rapidjson::Reader();
  auto IsGood = false;
  auto Generate = [&](rapidjson::Document & /*Base*/) {
    IsGood = !Reader.Parse<Flags>(Stream, *this).IsError();
    return IsGood;
  };
  Populate(Generate);
  return IsGood && IsObject();
}

auto ExactDocument::RawNumber(const char *Text, rapidjson::SizeType Size, bool /*Copy*/) -> bool {
  const auto Number = std::string_view(Text, Size);
  auto Whole = std::int64_t{0};
  if (readWhole(Number, Whole)) {
    return Int64(Whole);
  }
  auto Floating = 0.0;
  return readWhole(Number, Floating) && Double(Floating);
}

} // namespace geraniumlift::objects::internal
