#include "base/rendezvous.h"

#include <xxhash.h>

namespace geraniumlift::base {

auto rendezvousRank(std::string_view Key, std::string_view Member) -> std::uint64_t {
  return XXH3_64bits_withSeed(Member.data(), Member.size(), XXH3_64bits(Key.data(), Key.size()));
}

} // namespace geraniumlift::base
