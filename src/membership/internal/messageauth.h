#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumlift::membership {

/// Bytes of the message authentication code (MAC) in front of each message.
inline constexpr std::size_t MacBytes = 32;

/// Kind of a signed message. It is part of the MAC, so that a message of one kind is never accepted
/// as another.
enum class MessageKind : char { Heartbeat = 'H', SnapshotRequest = 'Q', SnapshotResponse = 'S' };

/// Returns the payload behind the HMAC-SHA256 of kind and payload under the peer key.
auto signMessage(std::string_view Key, MessageKind Kind, std::string_view Payload) -> std::string;

/// Returns the payload of a signed message, which points into that message; nothing if the MAC does
/// not match.
auto verifyMessage(std::string_view Key, MessageKind Kind, std::string_view SignedMessage)
    -> std::optional<std::string_view>;

} // namespace geraniumlift::membership
