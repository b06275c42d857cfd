#include "configuration/publisher.h"

#include "base/hashing.h"
#include "configuration/internal/publication.h"
#include "objects/objectcheck.h"

namespace geraniumlift::configuration {

namespace {

constexpr std::size_t PublicationIdBytes = 16;

auto rejectedResult(std::string PublicationId, std::vector<objects::ObjectError> Errors,
                    absl::Status Status) -> PublishResult {
  return {.m_Outcome = PublishOutcome::Rejected,
          .m_Generation = 0,
          .m_PublicationId = std::move(PublicationId),
          .m_Errors = std::move(Errors),
          .m_Status = std::move(Status)};
}

/// Encodes a set and verifies that it can be decoded, so that no set is published that routers
/// cannot read.
auto encodeVerified(const objects::ObjectSet &Objects)
    -> absl::StatusOr<std::vector<objects::Chunk>> {
  auto Chunks = objects::encodeChunks(Objects);
  if (!Chunks.ok()) {
    return Chunks;
  }
  if (Chunks->size() > MaxChunks) {
    return absl::InvalidArgumentError("the set exceeds the limit of chunks");
  }
  auto Decoded = objects::ObjectSet();
  for (const auto &Chunk : *Chunks) {
    if (auto Status = objects::decodeChunk(Chunk.m_Text, Decoded); !Status.ok()) {
      return Status;
    }
  }
  if (Decoded != Objects) {
    return absl::InternalError("the encoded set differs from the given one");
  }
  return Chunks;
}

} // namespace

Publisher::Publisher(keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
                     const base::IClock &Clock, PublisherOptions Options)
    : m_Store(Store), m_Scheduler(Scheduler), m_Clock(Clock), m_Options(Options) {}

auto Publisher::publish(PublishRequest Request, PublishCallback Done) -> void {
  auto Id = Request.m_PublicationId.empty() ? base::randomHex(PublicationIdBytes)
                                            : std::move(Request.m_PublicationId);
  if (!isPublicationId(Id)) {
    Done(
        rejectedResult(std::move(Id), {},
                       absl::InvalidArgumentError(
                           "a publication ID has 1 to 64 letters, digits and characters of ._:-")));
    return;
  }
  if (auto Errors = objects::checkObjects(Request.m_Objects); !Errors.empty()) {
    Done(rejectedResult(std::move(Id), std::move(Errors),
                        absl::InvalidArgumentError("the set has mistakes")));
    return;
  }
  auto Chunks = encodeVerified(Request.m_Objects);
  if (!Chunks.ok()) {
    Done(rejectedResult(std::move(Id), {}, Chunks.status()));
    return;
  }
  auto Prepared =
      internal::PreparedPublication{.m_Id = std::move(Id),
                                    .m_Chunks = *std::move(Chunks),
                                    .m_ExpectedGeneration = Request.m_ExpectedGeneration};
  std::make_shared<internal::Publication>(m_Store, m_Scheduler, m_Clock, m_Options,
                                          std::move(Prepared), std::move(Done))
      ->start();
}

} // namespace geraniumlift::configuration
