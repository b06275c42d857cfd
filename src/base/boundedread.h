#pragma once

#include <cereal/cereal.hpp>
#include <string>
#include <vector>

namespace geraniumlift::base {

/// Reads the size of a string or list from a cereal archive. Throws a cereal::Exception above the
/// limit, before any memory is allocated, since the bytes may come from the network.
template <typename Archive>
auto readSize(Archive &Data, std::size_t Limit) -> std::size_t {
  auto Size = cereal::size_type{0};
  Data(cereal::make_size_tag(Size));
  if (Size > Limit) {
    throw cereal::Exception("a text or list is too long");
  }
  return static_cast<std::size_t>(Size);
}

/// Reads a string in cereal's encoding. Throws like readSize if it has more than Limit bytes.
template <typename Archive>
auto readText(Archive &Data, std::string &Into, std::size_t Limit) -> void {
  Into.resize(readSize(Data, Limit));
  Data(cereal::binary_data(Into.data(), Into.size()));
}

/// Reads a list in cereal's encoding. Throws like readSize if it has more than Limit entries.
template <typename Archive, typename Entry>
auto readEntries(Archive &Data, std::vector<Entry> &Into, std::size_t Limit) -> void {
  Into.resize(readSize(Data, Limit));
  for (auto &Item : Into) {
    Data(Item);
  }
}

} // namespace geraniumlift::base
