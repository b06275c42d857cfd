#pragma once

#include "heartbeat.h"

#include <absl/status/statusor.h>
#include <cstddef>
#include <string>
#include <string_view>

namespace geraniumlift::membership {

/// Bytes of a heartbeat without entries and digests.
inline constexpr std::size_t HeartbeatBaseBytes = 3;

/// Bytes of one digest.
inline constexpr std::size_t DigestBytes = 4;

/// Bytes that the entry takes in a heartbeat.
auto encodedBytes(const PeerEntry &Entry) -> std::size_t;

/// Whether the entry has a VM name, and its names and number of budgets are within the limits.
auto isWithinLimits(const PeerEntry &Entry) -> bool;

/// Encodes a heartbeat in cereal's portable binary form. Entries must be within the limits; at most
/// 255 entries and 255 digests.
auto encodeHeartbeat(const Heartbeat &Message) -> std::string;

/// Decodes a heartbeat. Returns InvalidArgument for truncated or trailing bytes, an unknown state,
/// and an entry beyond its limits.
auto decodeHeartbeat(std::string_view Bytes) -> absl::StatusOr<Heartbeat>;

} // namespace geraniumlift::membership
