#pragma once

#include "configuration/loadedsnapshot.h"

namespace geraniumlift::configuration {

/// Limit on the size of a serialized snapshot, in bytes. The expected set takes about 6 MB.
inline constexpr std::size_t MaxPeerSnapshotBytes = std::size_t{64} * 1024 * 1024;

/// Serializes a snapshot for a peer that already has the chunks with the given hashes.
auto encodePeerSnapshot(const LoadedSnapshot &Loaded, const std::vector<std::string> &KnownChunks)
    -> std::string;

/// Restores a snapshot from a peer's bytes and the local chunks. Returns InvalidArgument for
/// malformed bytes and for an invalid set, FailedPrecondition if a chunk is in neither of them or
/// was corrupted in transit.
auto decodePeerSnapshot(std::string_view Bytes, const ChunkTexts &LocalChunks)
    -> absl::StatusOr<LoadedSnapshotPointer>;

} // namespace geraniumlift::configuration
