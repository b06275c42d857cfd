#include "messageauth.h"

#include "base/hashing.h"

namespace geraniumlift::membership {

namespace {

auto codeOf(std::string_view Key, SealKind Kind, std::string_view Payload) -> std::string {
  auto Authenticated = std::string(1, static_cast<char>(Kind));
  Authenticated += Payload;
  return base::hmacSha256(Key, Authenticated);
}

} // namespace

auto seal(std::string_view Key, SealKind Kind, std::string_view Payload) -> std::string {
  return codeOf(Key, Kind, Payload).append(Payload);
}

auto unseal(std::string_view Key, SealKind Kind, std::string_view Sealed)
    -> std::optional<std::string_view> {
  if (Sealed.size() < SealBytes) {
    return std::nullopt;
  }
  const auto Payload = Sealed.substr(SealBytes);
  if (!base::equalInConstantTime(Sealed.substr(0, SealBytes), codeOf(Key, Kind, Payload))) {
    return std::nullopt;
  }
  return Payload;
}

} // namespace geraniumlift::membership
