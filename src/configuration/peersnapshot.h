#pragma once

#include "configuration/loadedsnapshot.h"

namespace geraniumlift::configuration {

/// Limit on a serialized snapshot, in bytes. The expected set takes about 6 MB.
inline constexpr std::size_t MaxPeerSnapshotBytes = std::size_t{64} * 1024 * 1024;

/// Serializes a snapshot for a peer that already has the chunks of the given hashes.
auto encodePeerSnapshot(const LoadedSnapshot &Loaded, const std::vector<std::string> &KnownChunks)
    -> std::string;

/// Restores a snapshot from a peer's bytes and the chunks at hand. InvalidArgument for malformed
/// bytes and for a set that does not check, FailedPrecondition if a chunk is in neither or was
/// changed on the way.
auto decodePeerSnapshot(std::string_view Bytes, const ChunkTexts &LocalChunks)
    -> absl::StatusOr<LoadedSnapshotPointer>;

} // namespace geraniumlift::configuration
