#pragma once

#include "configuration/manifest.h"

#include <map>

namespace geraniumlift::configuration {

/// Texts of chunks by their hash. Snapshots share the texts that did not change.
using ChunkTexts = std::map<std::string, std::shared_ptr<const std::string>>;

/// A snapshot with the manifest and the chunks that it was decoded from.
struct LoadedSnapshot {
  SnapshotPointer m_Snapshot;
  Manifest m_Manifest;
  ChunkTexts m_Chunks;
};

using LoadedSnapshotPointer = std::shared_ptr<const LoadedSnapshot>;

/// Decodes and checks the set that the manifest names. FailedPrecondition if a chunk is not among
/// the texts, InvalidArgument if the set does not decode or does not check. Every text must already
/// match its hash.
auto assembleSnapshot(Manifest Content, const ChunkTexts &Texts)
    -> absl::StatusOr<LoadedSnapshotPointer>;

} // namespace geraniumlift::configuration
