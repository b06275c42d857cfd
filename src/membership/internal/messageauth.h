#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace geraniumlift::membership {

/// Bytes of the code in front of each message.
inline constexpr std::size_t MacBytes = 32;

/// What a sealed message is; a message of one kind is never accepted as another.
enum class MessageKind : char { Heartbeat = 'H', SnapshotRequest = 'Q', SnapshotResponse = 'S' };

/// Puts the HMAC-SHA256 of kind and payload under the peer key in front of the payload.
auto signMessage(std::string_view Key, MessageKind Kind, std::string_view Payload) -> std::string;

/// Returns the payload of a sealed message, nothing if the code does not match.
auto verifyMessage(std::string_view Key, MessageKind Kind, std::string_view SignedMessage)
    -> std::optional<std::string_view>;

} // namespace geraniumlift::membership
