#pragma once

#include "configuration/manifest.h"
#include "configuration/publisher.h"
#include "objects/objectcodec.h"

#include <memory>

namespace geraniumlift::configuration::internal {

/// A chunk in the key-value service at the revision at which it was last written.
struct StoredChunk {
  std::string m_Hash;
  std::int64_t m_ModRevision = 0;
};

/// A checked and encoded set to publish.
struct PreparedPublication {
  std::string m_Id;
  std::vector<objects::Chunk> m_Chunks;
  std::optional<Generation> m_ExpectedGeneration;
};

/// One publication: reads the manifest, writes the missing chunks, replaces the manifest. One call
/// is in flight at a time, and its callback keeps the publication alive. A write without a response
/// is resolved by the publication ID: the manifest is read until it shows whether the write took
/// effect, and a write that did not is repeated against the same revision, so that at most one of
/// the attempts takes effect.
///
/// Chunks that nothing refers to any more are erased: after an acceptance those that the replaced
/// manifest alone listed, after a conflict those that this publication wrote. Without this, 430
/// changes a day of up to 256 KB each would fill the service. An erasure names the revision that
/// the chunk had before the manifest was written, and every publication rewrites a chunk that
/// exists but is not in the manifest it is based on. A chunk that another publication relies on
/// therefore has another revision, and its erasure fails. Erasing stops at the first call without
/// an answer.
class Publication : public std::enable_shared_from_this<Publication> {
public:
  Publication(keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
              const base::IClock &Clock, PublisherOptions Options, PreparedPublication Prepared,
              PublishCallback Done);

  auto start() -> void;

private:
  using ReadResult = absl::StatusOr<std::optional<keyvalue::KeyValue>>;
  using Step = void (Publication::*)();

  auto readBase() -> void;
  auto onBaseRead(const ReadResult &Result) -> void;
  auto loadBase(const keyvalue::KeyValue &Found) -> bool;

  auto writeNextChunk() -> void;
  auto onChunkWritten(const keyvalue::WriteResult &Result) -> void;

  /// Writes the chunk again at the revision found, with the same text.
  auto rewriteChunk(const keyvalue::KeyValue &Found) -> void;

  /// Collects the revisions of the chunks that only the base lists, then writes the manifest.
  auto readNextObsolete() -> void;

  auto writeManifest() -> void;
  auto onManifestWritten(const keyvalue::WriteResult &Result) -> void;

  auto readOutcome() -> void;
  auto onOutcomeRead(const ReadResult &Result) -> void;

  /// Draws the conclusion from a manifest that is newer than the one this publication is based on.
  auto resolveOutcome(const keyvalue::KeyValue &Found) -> void;

  /// Repeats a step after the retry interval, or gives up.
  auto retry(Step Repeat, const absl::Status &Cause) -> void;
  auto finish(PublishOutcome Outcome, Generation ResultGeneration, absl::Status Status) -> void;

  /// Erases chunks one by one from the end of the list, then reports the result.
  auto eraseNext(std::vector<StoredChunk> Chunks, PublishResult Result) -> void;

  keyvalue::IKeyValueStore &m_Store;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  PublisherOptions m_Options;
  PreparedPublication m_Prepared;
  PublishCallback m_Done;
  base::SteadyTime m_Deadline;

  /// The manifest that this publication replaces, and its revision.
  Manifest m_BaseManifest;
  std::int64_t m_BaseRevision = keyvalue::AbsentRevision;
  Manifest m_NextManifest;
  std::size_t m_NextChunkIndex = 0;

  /// Chunks that this publication wrote.
  std::vector<StoredChunk> m_WrittenChunks;

  /// Hashes of the chunks that only the base lists and whose revision is still to be read.
  std::vector<std::string> m_ObsoleteToRead;
  std::vector<StoredChunk> m_ObsoleteChunks;

  /// Whether the manifest write was sent at least once, so that it may have taken effect.
  bool m_ManifestSent = false;
};

} // namespace geraniumlift::configuration::internal
