#pragma once

#include <cstdint>
#include <string_view>

namespace geraniumlift::base {

/// Rank of a member for a key by rendezvous hashing (XXH3). All processes with the same members
/// agree on the highest rank; when a member leaves, only the keys that it ranked highest for are
/// moved.
auto rendezvousRank(std::string_view Key, std::string_view Member) -> std::uint64_t;

} // namespace geraniumlift::base
