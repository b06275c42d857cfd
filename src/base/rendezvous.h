#pragma once

#include <cstdint>
#include <string_view>

namespace geraniumlift::base {

/// Rank of a member for a key, by rendezvous hash (XXH3): all processes that rank the same members
/// agree on the highest, and a member that leaves moves only the keys for which it was the highest.
auto rendezvousRank(std::string_view Key, std::string_view Member) -> std::uint64_t;

} // namespace geraniumlift::base
