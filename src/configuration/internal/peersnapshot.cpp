#include "configuration/peersnapshot.h"

#include "base/hashing.h"
#include "objects/objectcodec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace geraniumlift::configuration {

namespace {

/// Writes a text as a 32-bit size and the bytes, so that the reader can check the size before it
/// allocates memory; cereal's own string format does not allow this.
auto writeText(cereal::PortableBinaryOutputArchive &Archive, const std::string &Text) -> void {
  Archive(static_cast<std::uint32_t>(Text.size()));
  Archive(cereal::binary_data(Text.data(), Text.size()));
}

/// Reads a text of writeText. Throws cereal::Exception if it is truncated or exceeds the limit.
auto readText(cereal::PortableBinaryInputArchive &Archive, std::size_t MaxBytes) -> std::string {
  auto Size = std::uint32_t{0};
  Archive(Size);
  if (Size > MaxBytes) {
    throw cereal::Exception("a text in the peer's snapshot exceeds its size limit");
  }
  auto Text = std::string(Size, '\0');
  Archive(cereal::binary_data(Text.data(), Text.size()));
  return Text;
}

/// Texts of the manifest and the chunks in a peer's snapshot, not verified yet.
struct PeerTexts {
  std::string m_Manifest;
  std::vector<std::string> m_Chunks;
};

auto readTexts(std::string_view Bytes) -> absl::StatusOr<PeerTexts> {
  if (Bytes.size() > MaxPeerSnapshotBytes) {
    return absl::InvalidArgumentError("the peer's snapshot exceeds 64 MB");
  }
  try {
    auto Stream = std::istringstream(std::string(Bytes));
    auto Archive = cereal::PortableBinaryInputArchive(Stream);
    auto Texts = PeerTexts();
    Texts.m_Manifest = readText(Archive, Bytes.size());
    auto Count = std::uint32_t{0};
    Archive(Count);
    if (Count > MaxChunks) {
      return absl::InvalidArgumentError("the peer's snapshot has too many chunks");
    }
    for (std::uint32_t Index = 0; Index < Count; ++Index) {
      Texts.m_Chunks.push_back(readText(Archive, objects::MaxChunkBytes));
    }
    return Texts;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace

auto encodePeerSnapshot(const LoadedSnapshot &Loaded, const std::vector<std::string> &KnownChunks)
    -> std::string {
  auto Missing = std::vector<const std::string *>();
  for (const auto &[Hash, Text] : Loaded.m_Chunks) {
    if (std::find(KnownChunks.begin(), KnownChunks.end(), Hash) == KnownChunks.end()) {
      Missing.push_back(Text.get());
    }
  }
  auto Stream = std::ostringstream();
  auto Archive = cereal::PortableBinaryOutputArchive(Stream);
  writeText(Archive, encodeManifest(Loaded.m_Manifest));
  Archive(static_cast<std::uint32_t>(Missing.size()));
  for (const auto *Text : Missing) {
    writeText(Archive, *Text);
  }
  return Stream.str();
}

auto decodePeerSnapshot(std::string_view Bytes, const ChunkTexts &LocalChunks)
    -> absl::StatusOr<LoadedSnapshotPointer> {
  auto Texts = readTexts(Bytes);
  if (!Texts.ok()) {
    return Texts.status();
  }
  auto Content = decodeManifest(Texts->m_Manifest);
  if (!Content.ok()) {
    return Content.status();
  }
  // Chunks are stored under the hash computed here, so a corrupted chunk counts as missing.
  auto Chunks = LocalChunks;
  for (auto &Text : Texts->m_Chunks) {
    auto Hash = base::sha256Hex(Text);
    Chunks[std::move(Hash)] = std::make_shared<const std::string>(std::move(Text));
  }
  return assembleSnapshot(*std::move(Content), Chunks);
}

} // namespace geraniumlift::configuration
