#include "configuration/internal/publication.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace geraniumlift::configuration::internal {

namespace {

/// The hashes of the first list that are not in the second one.
auto hashesNotIn(const std::vector<std::string> &Hashes, const std::vector<std::string> &Others)
    -> std::vector<std::string> {
  auto Missing = std::vector<std::string>();
  std::copy_if(Hashes.begin(), Hashes.end(), std::back_inserter(Missing), [&](const auto &Hash) {
    return std::find(Others.begin(), Others.end(), Hash) == Others.end();
  });
  return Missing;
}

} // namespace

Publication::Publication(keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
                         const base::IClock &Clock, PublisherOptions Options,
                         PreparedPublication Prepared, PublishCallback Done)
    : m_Store(Store), m_Scheduler(Scheduler), m_Clock(Clock), m_Options(Options),
      m_Prepared(std::move(Prepared)), m_Done(std::move(Done)),
      m_Deadline(Clock.steadyNow() + Options.m_Timeout) {}

auto Publication::start() -> void { readBase(); }

auto Publication::readBase() -> void {
  m_Store.read(std::string(ManifestKey),
               [Self = shared_from_this()](const auto &Result) { Self->onBaseRead(Result); });
}

auto Publication::onBaseRead(const ReadResult &Result) -> void {
  if (!Result.ok()) {
    retry(&Publication::readBase, Result.status());
    return;
  }
  if (Result->has_value() && !loadBase(**Result)) {
    return;
  }
  if (m_Prepared.m_ExpectedGeneration &&
      *m_Prepared.m_ExpectedGeneration != m_BaseManifest.m_Generation) {
    finish(PublishOutcome::Conflict, m_BaseManifest.m_Generation,
           absl::AbortedError("the generation in force is not the expected one"));
    return;
  }
  auto Hashes = std::vector<std::string>();
  for (const auto &Chunk : m_Prepared.m_Chunks) {
    Hashes.push_back(Chunk.m_Hash);
  }
  m_NextManifest = nextManifest(m_BaseManifest, m_Prepared.m_Id, std::move(Hashes));
  m_ObsoleteToRead = hashesNotIn(m_BaseManifest.m_ChunkHashes, m_NextManifest.m_ChunkHashes);
  writeNextChunk();
}

auto Publication::loadBase(const keyvalue::KeyValue &Found) -> bool {
  auto Content = decodeManifest(Found.m_Value);
  if (!Content.ok()) {
    finish(PublishOutcome::Rejected, 0, Content.status());
    return false;
  }
  if (const auto ResultGeneration = generationOf(*Content, m_Prepared.m_Id)) {
    finish(PublishOutcome::Accepted, *ResultGeneration, absl::OkStatus());
    return false;
  }
  m_BaseManifest = *std::move(Content);
  m_BaseRevision = Found.m_ModRevision;
  return true;
}

auto Publication::writeNextChunk() -> void {
  const auto &Published = m_BaseManifest.m_ChunkHashes;
  while (m_NextChunkIndex < m_Prepared.m_Chunks.size() &&
         std::find(Published.begin(), Published.end(),
                   m_Prepared.m_Chunks[m_NextChunkIndex].m_Hash) != Published.end()) {
    ++m_NextChunkIndex;
  }
  if (m_NextChunkIndex == m_Prepared.m_Chunks.size()) {
    readNextObsolete();
    return;
  }
  const auto &Chunk = m_Prepared.m_Chunks[m_NextChunkIndex];
  m_Store.compareAndSwap(
      {.m_Key = chunkKey(Chunk.m_Hash),
       .m_ExpectedModRevision = keyvalue::AbsentRevision,
       .m_Value = Chunk.m_Text},
      [Self = shared_from_this()](const auto &Result) { Self->onChunkWritten(Result); });
}

auto Publication::onChunkWritten(const keyvalue::WriteResult &Result) -> void {
  if (Result.m_Outcome == keyvalue::WriteOutcome::Unknown) {
    retry(&Publication::writeNextChunk, Result.m_Status);
    return;
  }
  const auto &Chunk = m_Prepared.m_Chunks[m_NextChunkIndex];
  if (Result.m_Outcome == keyvalue::WriteOutcome::Conflict) {
    if (!Result.m_Current) {
      retry(&Publication::writeNextChunk, absl::UnavailableError("a chunk came and went"));
    } else if (Result.m_Current->m_Value != Chunk.m_Text) {
      finish(PublishOutcome::Rejected, 0,
             absl::DataLossError("the key-value service has another text under a chunk's hash"));
    } else {
      rewriteChunk(*Result.m_Current);
    }
    return;
  }
  m_WrittenChunks.push_back({.m_Hash = Chunk.m_Hash, .m_ModRevision = Result.m_ModRevision});
  ++m_NextChunkIndex;
  writeNextChunk();
}

auto Publication::rewriteChunk(const keyvalue::KeyValue &Found) -> void {
  m_Store.compareAndSwap(
      {.m_Key = Found.m_Key,
       .m_ExpectedModRevision = Found.m_ModRevision,
       .m_Value = Found.m_Value},
      [Self = shared_from_this()](const auto &Result) { Self->onChunkWritten(Result); });
}

auto Publication::readNextObsolete() -> void {
  if (m_ObsoleteToRead.empty()) {
    writeManifest();
    return;
  }
  auto Hash = std::move(m_ObsoleteToRead.back());
  m_ObsoleteToRead.pop_back();
  auto Key = chunkKey(Hash);
  m_Store.read(std::move(Key), [Self = shared_from_this(), Hash](const ReadResult &Result) {
    if (Result.ok() && Result->has_value()) {
      Self->m_ObsoleteChunks.push_back({.m_Hash = Hash, .m_ModRevision = (*Result)->m_ModRevision});
    }
    Self->readNextObsolete();
  });
}

auto Publication::writeManifest() -> void {
  m_ManifestSent = true;
  m_Store.compareAndSwap(
      {.m_Key = std::string(ManifestKey),
       .m_ExpectedModRevision = m_BaseRevision,
       .m_Value = encodeManifest(m_NextManifest)},
      [Self = shared_from_this()](const auto &Result) { Self->onManifestWritten(Result); });
}

auto Publication::onManifestWritten(const keyvalue::WriteResult &Result) -> void {
  switch (Result.m_Outcome) {
  case keyvalue::WriteOutcome::Applied:
    finish(PublishOutcome::Accepted, m_NextManifest.m_Generation, absl::OkStatus());
    return;
  case keyvalue::WriteOutcome::Conflict:
    if (Result.m_Current && Result.m_Current->m_ModRevision > m_BaseRevision) {
      resolveOutcome(*Result.m_Current);
      return;
    }
    retry(&Publication::readOutcome, absl::UnavailableError("the manifest came and went"));
    return;
  case keyvalue::WriteOutcome::Unknown:
    retry(&Publication::readOutcome, Result.m_Status);
    return;
  }
}

auto Publication::readOutcome() -> void {
  m_Store.read(std::string(ManifestKey),
               [Self = shared_from_this()](const auto &Result) { Self->onOutcomeRead(Result); });
}

auto Publication::onOutcomeRead(const ReadResult &Result) -> void {
  if (!Result.ok()) {
    retry(&Publication::readOutcome, Result.status());
    return;
  }
  const auto Revision = Result->has_value() ? (*Result)->m_ModRevision : keyvalue::AbsentRevision;
  if (Revision > m_BaseRevision) {
    resolveOutcome(**Result);
  } else if (Revision == m_BaseRevision) {
    // The write has not taken effect, or the read is stale. In both cases it is safe to repeat the
    // write, because it expects the same revision.
    writeManifest();
  } else {
    retry(&Publication::readOutcome, absl::UnavailableError("the read lags"));
  }
}

auto Publication::resolveOutcome(const keyvalue::KeyValue &Found) -> void {
  const auto Content = decodeManifest(Found.m_Value);
  if (!Content.ok()) {
    finish(PublishOutcome::Unknown, 0, Content.status());
    return;
  }
  if (const auto ResultGeneration = generationOf(*Content, m_Prepared.m_Id)) {
    finish(PublishOutcome::Accepted, *ResultGeneration, absl::OkStatus());
    return;
  }
  const auto OldestListed = Content->m_Generation - Content->m_RecentPublications.size() + 1;
  if (OldestListed <= m_NextManifest.m_Generation) {
    finish(PublishOutcome::Conflict, Content->m_Generation,
           absl::AbortedError("another publication came first"));
    return;
  }
  finish(PublishOutcome::Unknown, Content->m_Generation,
         absl::UnknownError(
             fmt::format("more than {} publications came in the meantime", MaxRecentPublications)));
}

auto Publication::retry(Step Repeat, const absl::Status &Cause) -> void {
  if (m_Clock.steadyNow() >= m_Deadline) {
    finish(m_ManifestSent ? PublishOutcome::Unknown : PublishOutcome::Unavailable, 0, Cause);
    return;
  }
  m_Scheduler.after(m_Options.m_RetryInterval,
                    [Self = shared_from_this(), Repeat] { ((*Self).*Repeat)(); });
}

auto Publication::finish(PublishOutcome Outcome, Generation ResultGeneration, absl::Status Status)
    -> void {
  auto ChunksToErase = std::vector<StoredChunk>();
  if (Outcome == PublishOutcome::Accepted) {
    ChunksToErase = std::move(m_ObsoleteChunks);
  } else if (Outcome == PublishOutcome::Conflict) {
    ChunksToErase = std::move(m_WrittenChunks);
  }
  eraseNext(std::move(ChunksToErase), {.m_Outcome = Outcome,
                                       .m_Generation = ResultGeneration,
                                       .m_PublicationId = m_Prepared.m_Id,
                                       .m_Errors = {},
                                       .m_Status = std::move(Status)});
}

auto Publication::eraseNext(std::vector<StoredChunk> Chunks, PublishResult Result) -> void {
  if (Chunks.empty()) {
    m_Done(std::move(Result));
    return;
  }
  const auto Last = std::move(Chunks.back());
  Chunks.pop_back();
  m_Store.compareAndErase(
      chunkKey(Last.m_Hash), Last.m_ModRevision,
      [Self = shared_from_this(), Chunks = std::move(Chunks),
       Result = std::move(Result)](const keyvalue::WriteResult &Erased) mutable {
        if (Erased.m_Outcome == keyvalue::WriteOutcome::Unknown) {
          Chunks.clear();
        }
        Self->eraseNext(std::move(Chunks), std::move(Result));
      });
}

} // namespace geraniumlift::configuration::internal
