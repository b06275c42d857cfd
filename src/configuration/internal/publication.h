#pragma once

#include "configuration/manifest.h"
#include "configuration/publisher.h"
#include "objects/objectcodec.h"

#include <memory>

namespace geraniumlift::configuration::internal {

/// A chunk in the key-value service with the revision at which it was last written.
struct StoredChunk {
  std::string m_Hash;
  std::int64_t m_ModRevision = 0;
};

/// A validated and encoded set to publish.
struct PreparedPublication {
  std::string m_Id;
  std::vector<objects::Chunk> m_Chunks;
  std::optional<Generation> m_ExpectedGeneration;
};

/// One publication: reads the manifest, writes the missing chunks, replaces the manifest. One call
/// is in flight at a time, and its callback keeps the publication alive. If the manifest write gets
/// no response, its outcome is found by the publication ID: the manifest is read until it shows
/// whether the write took effect. A write that did not is repeated against the same revision, so
/// that at most one of the attempts takes effect.
///
/// Unreferenced chunks are erased: after an acceptance those that only the replaced manifest
/// listed, after a conflict those that this publication wrote. Without this, 430 changes a day of
/// up to 256 KB each would fill the service. An erasure expects the revision that the chunk had
/// before the manifest was written, and every publication rewrites a chunk that exists but is not
/// in the manifest it is based on. A chunk that another publication uses therefore has another
/// revision, and its erasure fails. Erasing stops at the first call without a response.
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
  /// Takes the manifest found as the base. Returns false if the publication has ended, because the
  /// manifest is unreadable or already lists this publication.
  auto loadBase(const keyvalue::KeyValue &Found) -> bool;

  auto writeNextChunk() -> void;
  auto onChunkWritten(const keyvalue::WriteResult &Result) -> void;

  /// Writes an existing chunk again with the same text, which gives it a new revision.
  auto rewriteChunk(const keyvalue::KeyValue &Found) -> void;

  /// Reads the revisions of the chunks that only the base manifest lists, then writes the manifest.
  auto readNextObsolete() -> void;

  auto writeManifest() -> void;
  auto onManifestWritten(const keyvalue::WriteResult &Result) -> void;

  auto readOutcome() -> void;
  auto onOutcomeRead(const ReadResult &Result) -> void;

  /// Ends the publication with the outcome that a manifest newer than the base shows.
  auto resolveOutcome(const keyvalue::KeyValue &Found) -> void;

  /// Repeats a step after the retry interval. After the deadline, ends the publication instead.
  auto retry(Step Repeat, const absl::Status &Cause) -> void;
  auto finish(PublishOutcome Outcome, Generation ResultGeneration, absl::Status Status) -> void;

  /// Erases the chunks one by one, starting at the end of the list, then reports the result.
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

  /// Hashes of the chunks that only the base manifest lists and whose revision is not read yet.
  std::vector<std::string> m_ObsoleteToRead;

  /// Chunks that only the base manifest lists, to be erased once the new manifest is accepted.
  std::vector<StoredChunk> m_ObsoleteChunks;

  /// Whether the manifest write was sent at least once and so may have taken effect.
  bool m_ManifestSent = false;
};

} // namespace geraniumlift::configuration::internal
