#include "configuration/snapshotreader.h"

#include "base/hashing.h"

#include <mutex>

namespace geraniumlift::configuration {

struct SnapshotReader::Cache {
  std::mutex m_Mutex;
  ChunkTexts m_Chunks;
};

/// One read of the manifest and its missing chunks, one call at a time. Kept alive by the
/// callback of the call in flight.
class SnapshotReader::ReadOperation : public std::enable_shared_from_this<ReadOperation> {
public:
  ReadOperation(keyvalue::IKeyValueStore &Store, std::shared_ptr<Cache> SharedCache,
                Generation Current, Callback Done)
      : m_Store(Store), m_Cache(std::move(SharedCache)), m_Current(Current),
        m_Done(std::move(Done)) {}

  auto start() -> void {
    m_Store.read(std::string(ManifestKey),
                 [Self = shared_from_this()](auto Result) { Self->onManifest(std::move(Result)); });
  }

private:
  auto onManifest(absl::StatusOr<std::optional<keyvalue::KeyValue>> Result) -> void {
    if (!Result.ok()) {
      m_Done(Result.status());
      return;
    }
    if (!Result->has_value()) {
      m_Done(LoadedSnapshotPointer());
      return;
    }
    auto Content = decodeManifest((*Result)->m_Value);
    if (!Content.ok()) {
      m_Done(Content.status());
      return;
    }
    if (Content->m_Generation <= m_Current) {
      m_Done(LoadedSnapshotPointer());
      return;
    }
    m_Manifest = *std::move(Content);
    readNextChunk();
  }

  /// Hash of the next chunk of the manifest that is not cached yet; null if there is none.
  auto findMissing() -> const std::string * {
    const auto Lock = std::lock_guard(m_Cache->m_Mutex);
    while (m_NextChunkIndex < m_Manifest.m_ChunkHashes.size()) {
      const auto &Hash = m_Manifest.m_ChunkHashes[m_NextChunkIndex];
      if (!m_Cache->m_Chunks.contains(Hash)) {
        return &Hash;
      }
      ++m_NextChunkIndex;
    }
    return nullptr;
  }

  auto readNextChunk() -> void {
    const auto *Hash = findMissing();
    if (Hash == nullptr) {
      finish();
      return;
    }
    m_Store.read(chunkKey(*Hash), [Self = shared_from_this(), Hash = *Hash](auto Result) {
      Self->onChunk(Hash, std::move(Result));
    });
  }

  auto onChunk(const std::string &Hash, absl::StatusOr<std::optional<keyvalue::KeyValue>> Result)
      -> void {
    if (!Result.ok()) {
      m_Done(Result.status());
      return;
    }
    if (!Result->has_value()) {
      // A later publication has erased the chunk, or the read is stale.
      m_Done(absl::UnavailableError("the key-value service does not have chunk " + Hash));
      return;
    }
    if (base::sha256Hex((*Result)->m_Value) != Hash) {
      m_Done(absl::DataLossError("the text of a chunk does not match its hash " + Hash));
      return;
    }
    cacheChunk(Hash, std::move((*Result)->m_Value));
    readNextChunk();
  }

  auto cacheChunk(const std::string &Hash, std::string Text) -> void {
    const auto Lock = std::lock_guard(m_Cache->m_Mutex);
    m_Cache->m_Chunks[Hash] = std::make_shared<const std::string>(std::move(Text));
  }

  auto cachedChunks() -> ChunkTexts {
    const auto Lock = std::lock_guard(m_Cache->m_Mutex);
    return m_Cache->m_Chunks;
  }

  auto finish() -> void {
    auto Loaded = assembleSnapshot(std::move(m_Manifest), cachedChunks());
    if (Loaded.ok()) {
      const auto Lock = std::lock_guard(m_Cache->m_Mutex);
      m_Cache->m_Chunks = (*Loaded)->m_Chunks;
    }
    m_Done(std::move(Loaded));
  }

  keyvalue::IKeyValueStore &m_Store;
  std::shared_ptr<Cache> m_Cache;
  Generation m_Current;
  Callback m_Done;
  Manifest m_Manifest;
  std::size_t m_NextChunkIndex = 0;
};

SnapshotReader::SnapshotReader(keyvalue::IKeyValueStore &Store)
    : m_Store(Store), m_Cache(std::make_shared<Cache>()) {}

SnapshotReader::~SnapshotReader() = default;

auto SnapshotReader::replaceCachedChunks(const ChunkTexts &Chunks) -> void {
  const auto Lock = std::lock_guard(m_Cache->m_Mutex);
  m_Cache->m_Chunks = Chunks;
}

auto SnapshotReader::readNewer(Generation Current, Callback Done) -> void {
  std::make_shared<ReadOperation>(m_Store, m_Cache, Current, std::move(Done))->start();
}

} // namespace geraniumlift::configuration
