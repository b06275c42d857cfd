#pragma once

#include "configuration/configurationtypes.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::configuration {

/// Key of the manifest in the key-value service.
inline constexpr std::string_view ManifestKey = "geraniumlift/config/manifest";

/// Number of publication IDs that the manifest keeps, so that a publisher whose response was lost
/// can find its own publication even after others have published.
inline constexpr std::size_t MaxRecentPublications = 32;

/// Limit on the number of chunks of a set. A manifest of this size takes about 70 KB; a value in
/// the key-value service may have 1 MB.
inline constexpr std::size_t MaxChunks = 1'000;

/// Lists the chunks of the set in force. A publication is accepted when it replaces the manifest.
struct Manifest {
  Generation m_Generation = 0;
  std::string m_PublicationId;

  /// SHA-256 of each chunk of the set, in hexadecimal.
  std::vector<std::string> m_ChunkHashes;

  /// IDs of the most recent publications, oldest first, ending with this one. Their generations are
  /// consecutive.
  std::vector<std::string> m_RecentPublications;

  auto operator==(const Manifest &) const -> bool = default;
};

/// Whether a text is a valid publication ID: 1 to 64 characters of [A-Za-z0-9._:-]. decodeManifest
/// rejects a manifest with any other ID.
auto isPublicationId(std::string_view Text) -> bool;

/// Key of a chunk in the key-value service.
auto chunkKey(std::string_view Hash) -> std::string;

/// The manifest as JSON.
auto encodeManifest(const Manifest &Content) -> std::string;

/// Parses a manifest. Returns InvalidArgument if the text is not a manifest of the known format.
auto decodeManifest(std::string_view Text) -> absl::StatusOr<Manifest>;

/// The generation of a publication; nullopt if the manifest does not list it.
auto generationOf(const Manifest &Content, std::string_view PublicationId)
    -> std::optional<Generation>;

/// The successor of the given manifest for a new publication with the given chunks.
auto nextManifest(const Manifest &Before, std::string PublicationId,
                  std::vector<std::string> ChunkHashes) -> Manifest;

} // namespace geraniumlift::configuration
