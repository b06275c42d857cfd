#pragma once

#include "configuration/loadedsnapshot.h"
#include "keyvalue/ikeyvaluestore.h"

#include <functional>
#include <memory>

namespace geraniumlift::configuration {

/// Reads the published set from the key-value service. Keeps the chunks it has read, so that only
/// changed ones are read again. Thread-safe, but one read at a time. The store must outlive the
/// reader's calls.
class SnapshotReader {
public:
  /// Receives the snapshot, or nothing if there is none newer.
  using Callback = std::function<void(absl::StatusOr<LoadedSnapshotPointer>)>;

  explicit SnapshotReader(keyvalue::IKeyValueStore &Store);
  ~SnapshotReader();

  /// Replaces the kept chunks by those of a snapshot that came from elsewhere.
  auto replaceCachedChunks(const ChunkTexts &Chunks) -> void;

  /// Reads the manifest, and the missing chunks if its generation is higher than the given one. The
  /// callback runs once, on any thread. Unavailable also if a chunk is gone because another
  /// publication came in between; a repeat then finds the new manifest. A failed read keeps the
  /// chunks it got for the next one.
  auto readNewer(Generation Current, Callback Done) -> void;

private:
  class ReadOperation;
  struct Cache;
  keyvalue::IKeyValueStore &m_Store;
  std::shared_ptr<Cache> m_Cache;
};

} // namespace geraniumlift::configuration
