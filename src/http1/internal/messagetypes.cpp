#include "http1/messagetypes.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <array>
#include <fmt/format.h>

namespace geraniumlift::http1 {

namespace {

/// Hop-by-hop fields of RFC 9110, section 7.6.1, and the framing fields of RFC 9112.
constexpr auto HopByHopNames = std::array<std::string_view, 9>{
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Transfer-Encoding",
    "TE",         "Trailer",    "Upgrade",          "Content-Length"};

auto appendFields(std::string &Text, const HeaderFields &Fields) -> void {
  for (const auto &Field : Fields.all()) {
    Text += Field.m_Name;
    Text += ": ";
    Text += Field.m_Value;
    Text += "\r\n";
  }
}

auto appendFraming(std::string &Text, Framing Body, std::size_t Length) -> void {
  switch (Body) {
  case Framing::None:
    break;
  case Framing::Length:
    Text += fmt::format("Content-Length: {}\r\n", Length);
    break;
  case Framing::Chunked:
    Text += "Transfer-Encoding: chunked\r\n";
    break;
  }
  Text += "\r\n";
}

} // namespace

auto equalsIgnoringCase(std::string_view Left, std::string_view Right) -> bool {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(), [](char A, char B) {
           return absl::ascii_tolower(static_cast<unsigned char>(A)) ==
                  absl::ascii_tolower(static_cast<unsigned char>(B));
         });
}

auto HeaderFields::find(std::string_view Name) const -> std::optional<std::string_view> {
  for (const auto &Field : m_Fields) {
    if (equalsIgnoringCase(Field.m_Name, Name)) {
      return Field.m_Value;
    }
  }
  return std::nullopt;
}

auto HeaderFields::remove(std::string_view Name) -> void {
  std::erase_if(m_Fields, [Name](const HeaderField &Field) {
    return equalsIgnoringCase(Field.m_Name, Name);
  });
}

auto removeHopByHopFields(HeaderFields &Fields) -> void {
  if (const auto Listed = Fields.find("Connection")) {
    const auto Names = std::string(*Listed);
    for (const auto &Name : absl::StrSplit(Names, ',', absl::SkipWhitespace())) {
      const auto Token = std::string(absl::StripAsciiWhitespace(Name));
      Fields.remove(Token);
    }
  }
  for (const auto Name : HopByHopNames) {
    Fields.remove(Name);
  }
}

auto formatRequestHead(const RequestHead &Head, Framing Body, std::size_t Length) -> std::string {
  auto Text = fmt::format("{} {} HTTP/1.1\r\n", Head.m_Method, Head.m_Target);
  appendFields(Text, Head.m_Fields);
  appendFraming(Text, Body, Length);
  return Text;
}

auto formatResponseHead(const ResponseHead &Head, Framing Body, std::size_t Length) -> std::string {
  auto Text = fmt::format("HTTP/1.1 {} {}\r\n", Head.m_Status, Head.m_Reason);
  appendFields(Text, Head.m_Fields);
  appendFraming(Text, Body, Length);
  return Text;
}

auto formatChunk(std::string_view Data) -> std::string {
  return Data.empty() ? std::string() : fmt::format("{:x}\r\n{}\r\n", Data.size(), Data);
}

} // namespace geraniumlift::http1
