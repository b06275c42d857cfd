#pragma once

#include "configuration/loadedsnapshot.h"
#include "keyvalue/ikeyvaluestore.h"

#include <functional>
#include <memory>

namespace geraniumlift::configuration {

/// Reads the published set from the key-value service. Caches the chunks that it has read, so that
/// only changed chunks are read again. Thread-safe, but only one read may be in progress at a time.
/// The store must outlive the reader's calls.
class SnapshotReader {
public:
  /// Receives the snapshot, or a null pointer if there is none newer.
  using Callback = std::function<void(absl::StatusOr<LoadedSnapshotPointer>)>;

  explicit SnapshotReader(keyvalue::IKeyValueStore &Store);
  ~SnapshotReader();

  /// Replaces the cached chunks by those of a snapshot from another source.
  auto replaceCachedChunks(const ChunkTexts &Chunks) -> void;

  /// Reads the manifest and, if its generation is higher than the given one, the missing chunks.
  /// The callback runs once, on any thread. The status is also Unavailable if a later publication
  /// has erased a chunk in the meantime; another read then finds the new manifest. Chunks from a
  /// failed read stay cached for the next one.
  auto readNewer(Generation Current, Callback Done) -> void;

private:
  class ReadOperation;
  struct Cache;
  keyvalue::IKeyValueStore &m_Store;
  std::shared_ptr<Cache> m_Cache;
};

} // namespace geraniumlift::configuration
