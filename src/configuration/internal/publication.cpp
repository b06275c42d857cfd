#include "configuration/internal/publication.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>

namespace geraniumlift::configuration::internal {

namespace {

/// The hashes of the first list that the second one lacks.
auto missingFrom(const std::vector<std::string> &Hashes, const std::vector<std::string> &Others)
    -> std::vector<std::string> {
  auto Missing = std::vector<std::string>();
  std::copy_if(Hashes.begin(), Hashes.end(), std::back_inserter(Missing), [&](const auto &Hash) {
    return std::find(Others.begin(), Others.end(), Hash) == Others.end();
  });
  return Missing;
}

} // namespace

Publication::Publication(keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
                         const base::IClock &Clock, PublisherOptions Options, PublicationWork Work,
                         PublishCallback Done)
    : m_Store(Store), m_Scheduler(Scheduler), m_Clock(Clock), m_Options(Options),
      m_Work(std::move(Work)), m_Done(std::move(Done)),
      m_GiveUp(Clock.steadyNow() + Options.m_GiveUpAfter) {}

auto Publication::start() -> void { readBase(); }

auto Publication::readBase() -> void {
  m_Store.read(std::string(ManifestKey),
               [Self = shared_from_this()](const auto &Result) { Self->onBase(Result); });
}

auto Publication::onBase(const ReadResult &Result) -> void {
  if (!Result.ok()) {
    retry(&Publication::readBase, Result.status());
    return;
  }
  if (Result->has_value() && !takeBase(**Result)) {
    return;
  }
  if (m_Work.m_ExpectedGeneration && *m_Work.m_ExpectedGeneration != m_Base.m_Generation) {
    finish(PublishOutcome::Conflict, m_Base.m_Generation,
           absl::AbortedError("the generation in force is not the expected one"));
    return;
  }
  auto Hashes = std::vector<std::string>();
  for (const auto &Part : m_Work.m_Chunks) {
    Hashes.push_back(Part.m_Hash);
  }
  m_Next = nextManifest(m_Base, m_Work.m_Id, std::move(Hashes));
  m_RetiredToRead = missingFrom(m_Base.m_ChunkHashes, m_Next.m_ChunkHashes);
  writeNextChunk();
}

auto Publication::takeBase(const keyvalue::KeyValue &Found) -> bool {
  auto Content = decodeManifest(Found.m_Value);
  if (!Content.ok()) {
    finish(PublishOutcome::Rejected, 0, Content.status());
    return false;
  }
  if (const auto Number = generationOf(*Content, m_Work.m_Id)) {
    finish(PublishOutcome::Accepted, *Number, absl::OkStatus());
    return false;
  }
  m_Base = *std::move(Content);
  m_BaseRevision = Found.m_ModRevision;
  return true;
}

auto Publication::writeNextChunk() -> void {
  const auto &Published = m_Base.m_ChunkHashes;
  while (m_NextChunk < m_Work.m_Chunks.size() &&
         std::find(Published.begin(), Published.end(), m_Work.m_Chunks[m_NextChunk].m_Hash) !=
             Published.end()) {
    ++m_NextChunk;
  }
  if (m_NextChunk == m_Work.m_Chunks.size()) {
    readNextRetired();
    return;
  }
  const auto &Part = m_Work.m_Chunks[m_NextChunk];
  m_Store.compareAndSwap(
      {.m_Key = chunkKey(Part.m_Hash),
       .m_ExpectedModRevision = keyvalue::AbsentRevision,
       .m_Value = Part.m_Text},
      [Self = shared_from_this()](const auto &Result) { Self->onChunk(Result); });
}

auto Publication::onChunk(const keyvalue::WriteResult &Result) -> void {
  if (Result.m_Outcome == keyvalue::WriteOutcome::Unknown) {
    retry(&Publication::writeNextChunk, Result.m_Status);
    return;
  }
  const auto &Part = m_Work.m_Chunks[m_NextChunk];
  if (Result.m_Outcome == keyvalue::WriteOutcome::Conflict) {
    if (!Result.m_Current) {
      retry(&Publication::writeNextChunk, absl::UnavailableError("a chunk came and went"));
    } else if (Result.m_Current->m_Value != Part.m_Text) {
      finish(PublishOutcome::Rejected, 0,
             absl::DataLossError("the key-value service has another text under a chunk's hash"));
    } else {
      rewriteChunk(*Result.m_Current);
    }
    return;
  }
  m_Written.push_back({.m_Hash = Part.m_Hash, .m_ModRevision = Result.m_ModRevision});
  ++m_NextChunk;
  writeNextChunk();
}

auto Publication::rewriteChunk(const keyvalue::KeyValue &Found) -> void {
  m_Store.compareAndSwap(
      {.m_Key = Found.m_Key,
       .m_ExpectedModRevision = Found.m_ModRevision,
       .m_Value = Found.m_Value},
      [Self = shared_from_this()](const auto &Result) { Self->onChunk(Result); });
}

auto Publication::readNextRetired() -> void {
  if (m_RetiredToRead.empty()) {
    writeManifest();
    return;
  }
  auto Hash = std::move(m_RetiredToRead.back());
  m_RetiredToRead.pop_back();
  auto Key = chunkKey(Hash);
  m_Store.read(std::move(Key), [Self = shared_from_this(), Hash](const ReadResult &Result) {
    if (Result.ok() && Result->has_value()) {
      Self->m_Retired.push_back({.m_Hash = Hash, .m_ModRevision = (*Result)->m_ModRevision});
    }
    Self->readNextRetired();
  });
}

auto Publication::writeManifest() -> void {
  m_ManifestSent = true;
  m_Store.compareAndSwap(
      {.m_Key = std::string(ManifestKey),
       .m_ExpectedModRevision = m_BaseRevision,
       .m_Value = encodeManifest(m_Next)},
      [Self = shared_from_this()](const auto &Result) { Self->onManifest(Result); });
}

auto Publication::onManifest(const keyvalue::WriteResult &Result) -> void {
  switch (Result.m_Outcome) {
  case keyvalue::WriteOutcome::Applied:
    finish(PublishOutcome::Accepted, m_Next.m_Generation, absl::OkStatus());
    return;
  case keyvalue::WriteOutcome::Conflict:
    if (Result.m_Current && Result.m_Current->m_ModRevision > m_BaseRevision) {
      judge(*Result.m_Current);
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
               [Self = shared_from_this()](const auto &Result) { Self->onOutcome(Result); });
}

auto Publication::onOutcome(const ReadResult &Result) -> void {
  if (!Result.ok()) {
    retry(&Publication::readOutcome, Result.status());
    return;
  }
  const auto Revision = Result->has_value() ? (*Result)->m_ModRevision : keyvalue::AbsentRevision;
  if (Revision > m_BaseRevision) {
    judge(**Result);
  } else if (Revision == m_BaseRevision) {
    // The write has not taken effect, or the read lags. Either way the same write is safe.
    writeManifest();
  } else {
    retry(&Publication::readOutcome, absl::UnavailableError("the read lags"));
  }
}

auto Publication::judge(const keyvalue::KeyValue &Found) -> void {
  const auto Content = decodeManifest(Found.m_Value);
  if (!Content.ok()) {
    finish(PublishOutcome::Unknown, 0, Content.status());
    return;
  }
  if (const auto Number = generationOf(*Content, m_Work.m_Id)) {
    finish(PublishOutcome::Accepted, *Number, absl::OkStatus());
    return;
  }
  const auto OldestListed = Content->m_Generation - Content->m_RecentPublications.size() + 1;
  if (OldestListed <= m_Next.m_Generation) {
    finish(PublishOutcome::Conflict, Content->m_Generation,
           absl::AbortedError("another publication came first"));
    return;
  }
  finish(PublishOutcome::Unknown, Content->m_Generation,
         absl::UnknownError(
             fmt::format("more than {} publications came in the meantime", KeptPublications)));
}

auto Publication::retry(Step Repeat, const absl::Status &Cause) -> void {
  if (m_Clock.steadyNow() >= m_GiveUp) {
    finish(m_ManifestSent ? PublishOutcome::Unknown : PublishOutcome::Unavailable, 0, Cause);
    return;
  }
  m_Scheduler.after(m_Options.m_RetryInterval,
                    [Self = shared_from_this(), Repeat] { ((*Self).*Repeat)(); });
}

auto Publication::finish(PublishOutcome Outcome, Generation Number, absl::Status Status) -> void {
  auto Unused = std::vector<StoredChunk>();
  if (Outcome == PublishOutcome::Accepted) {
    Unused = std::move(m_Retired);
  } else if (Outcome == PublishOutcome::Conflict) {
    Unused = std::move(m_Written);
  }
  eraseNext(std::move(Unused), {.m_Outcome = Outcome,
                                .m_Generation = Number,
                                .m_PublicationId = m_Work.m_Id,
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
