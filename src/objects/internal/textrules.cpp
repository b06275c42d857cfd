#include "objects/internal/textrules.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <string>

namespace geraniumlift::objects::internal {

namespace {

constexpr std::size_t MaxTextBytes = 256;
constexpr std::size_t MaxNameBytes = 63;
constexpr std::size_t MaxModelNameBytes = 128;
constexpr std::size_t MaxVmNameBytes = 128;
constexpr std::size_t KeyHashBytes = 64;
constexpr int MaxPort = 65535;

/// Whether each byte is an ASCII letter, an ASCII digit or one of the other bytes.
auto consistsOf(std::string_view Text, std::string_view Others) -> bool {
  return std::all_of(Text.begin(), Text.end(), [Others](char Byte) {
    return absl::ascii_isalnum(static_cast<unsigned char>(Byte)) ||
           Others.find(Byte) != std::string_view::npos;
  });
}

auto hasUpperCase(std::string_view Text) -> bool {
  return std::any_of(Text.begin(), Text.end(), [](char Byte) {
    return absl::ascii_isupper(static_cast<unsigned char>(Byte));
  });
}

/// Removes the prefix and the suffix from the text if it has both; otherwise returns false.
auto stripPrefixAndSuffix(std::string_view &Text, std::string_view Prefix, std::string_view Suffix)
    -> bool {
  if (Text.size() < Prefix.size() + Suffix.size() || !Text.starts_with(Prefix) ||
      !Text.ends_with(Suffix)) {
    return false;
  }
  Text = Text.substr(Prefix.size(), Text.size() - Prefix.size() - Suffix.size());
  return true;
}

/// Whether the text is an IP address of the family, AF_INET or AF_INET6.
auto isIpNumber(int Family, std::string_view Text) -> bool {
  auto Buffer = std::array<unsigned char, sizeof(in6_addr)>{};
  return inet_pton(Family, std::string(Text).c_str(), Buffer.data()) == 1;
}

auto isPort(std::string_view Text) -> bool {
  auto Port = 0;
  const auto *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Port);
  return Error == std::errc() && Rest == End && Port >= 1 && Port <= MaxPort;
}

} // namespace

auto checkAnyText(std::string_view Text) -> std::string_view {
  return Text.size() <= MaxTextBytes ? "" : "must have at most 256 bytes";
}

auto checkName(std::string_view Text) -> std::string_view {
  const auto IsValid =
      !Text.empty() && Text.size() <= MaxNameBytes && consistsOf(Text, "-") && !hasUpperCase(Text);
  return IsValid ? "" : "must have 1 to 63 characters of a-z, 0-9 and -";
}

auto checkModelName(std::string_view Text) -> std::string_view {
  const auto IsValid =
      !Text.empty() && Text.size() <= MaxModelNameBytes && consistsOf(Text, "._:/-");
  return IsValid ? "" : "must have 1 to 128 characters of letters, digits and ._:/-";
}

auto checkVmName(std::string_view Text) -> std::string_view {
  const auto IsValid = Text.size() <= MaxVmNameBytes && consistsOf(Text, "._-");
  return IsValid ? "" : "must have at most 128 characters of letters, digits and ._-";
}

auto checkKeyHash(std::string_view Text) -> std::string_view {
  const auto IsValid = Text.size() == KeyHashBytes &&
                       Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  return IsValid ? "" : "must be a SHA-256 of 64 lower-case hexadecimal digits";
}

auto checkTargetUrl(std::string_view Text) -> std::string_view {
  constexpr std::string_view Problem =
      "must be http://ADDRESS:PORT with an IP number, without a path";
  if (Text.size() > MaxTextBytes || !stripPrefixAndSuffix(Text, "http://", "")) {
    return Problem;
  }
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || !isPort(Text.substr(Colon + 1))) {
    return Problem;
  }
  auto Host = Text.substr(0, Colon);
  const auto IsIpv6 = stripPrefixAndSuffix(Host, "[", "]");
  return isIpNumber(IsIpv6 ? AF_INET6 : AF_INET, Host) ? "" : Problem;
}

} // namespace geraniumlift::objects::internal
