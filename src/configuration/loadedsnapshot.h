#pragma once

#include "configuration/manifest.h"

#include <map>

namespace geraniumlift::configuration {

/// Chunk texts by hash. Snapshots share the texts of unchanged chunks.
using ChunkTexts = std::map<std::string, std::shared_ptr<const std::string>>;

/// A snapshot with the manifest and the chunks that it was decoded from.
struct LoadedSnapshot {
  SnapshotPointer m_Snapshot;
  Manifest m_Manifest;
  ChunkTexts m_Chunks;
};

using LoadedSnapshotPointer = std::shared_ptr<const LoadedSnapshot>;

/// Decodes and validates the set of objects that the manifest lists. Returns FailedPrecondition if
/// a chunk is not among the texts, InvalidArgument if the set cannot be decoded or is invalid. The
/// caller must have verified that every text matches its hash.
auto assembleSnapshot(Manifest Content, const ChunkTexts &Texts)
    -> absl::StatusOr<LoadedSnapshotPointer>;

} // namespace geraniumlift::configuration
