#include "messageauth.h"

#include "base/hashing.h"

namespace geraniumlift::membership {

namespace {

auto computeMac(std::string_view Key, MessageKind Kind, std::string_view Payload) -> std::string {
  auto MacInput = std::string(1, static_cast<char>(Kind));
  MacInput += Payload;
  return base::hmacSha256(Key, MacInput);
}

} // namespace

auto signMessage(std::string_view Key, MessageKind Kind, std::string_view Payload) -> std::string {
  return computeMac(Key, Kind, Payload).append(Payload);
}

auto verifyMessage(std::string_view Key, MessageKind Kind, std::string_view SignedMessage)
    -> std::optional<std::string_view> {
  if (SignedMessage.size() < MacBytes) {
    return std::nullopt;
  }
  const auto Payload = SignedMessage.substr(MacBytes);
  if (!base::equalInConstantTime(SignedMessage.substr(0, MacBytes),
                                 computeMac(Key, Kind, Payload))) {
    return std::nullopt;
  }
  return Payload;
}

} // namespace geraniumlift::membership
