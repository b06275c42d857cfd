#pragma once

#include "configuration/configurationtypes.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::configuration {

/// Key of the manifest in the key-value service.
inline constexpr std::string_view ManifestKey = "geraniumlift/config/manifest";

/// Number of publications whose IDs the manifest keeps, so that a publisher whose response was lost
/// finds its own even after others have published.
inline constexpr std::size_t MaxRecentPublications = 32;

/// Limit on the number of chunks of a set. The manifest is then about 70 KB; values may have 1 MB.
inline constexpr std::size_t MaxChunks = 1'000;

/// The value whose replacement accepts a publication.
struct Manifest {
  Generation m_Generation = 0;
  std::string m_PublicationId;

  /// SHA-256 of each chunk of the set, in hexadecimal digits.
  std::vector<std::string> m_ChunkHashes;

  /// IDs of the last publications, oldest first, this one last. Their generations are consecutive.
  std::vector<std::string> m_RecentPublications;

  auto operator==(const Manifest &) const -> bool = default;
};

/// Whether a text can name a publication: 1 to 64 characters of [A-Za-z0-9._:-]. A manifest with
/// any other would not decode.
auto isPublicationId(std::string_view Text) -> bool;

/// Key of a chunk in the key-value service.
auto chunkKey(std::string_view Hash) -> std::string;

/// The manifest as JSON.
auto encodeManifest(const Manifest &Content) -> std::string;

/// Reads a manifest; InvalidArgument for any text that encodeManifest cannot have written.
auto decodeManifest(std::string_view Text) -> absl::StatusOr<Manifest>;

/// The generation that a publication became; nothing if the manifest does not list it.
auto generationOf(const Manifest &Content, std::string_view PublicationId)
    -> std::optional<Generation>;

/// The manifest that follows the given one with another set of chunks.
auto nextManifest(const Manifest &Before, std::string PublicationId,
                  std::vector<std::string> ChunkHashes) -> Manifest;

} // namespace geraniumlift::configuration
