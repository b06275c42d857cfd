#include "configuration/loadedsnapshot.h"

#include "objects/objectcheck.h"
#include "objects/objectcodec.h"

#include <fmt/format.h>

namespace geraniumlift::configuration {

auto assembleSnapshot(Manifest Content, const ChunkTexts &Texts)
    -> absl::StatusOr<LoadedSnapshotPointer> {
  auto Loaded = std::make_shared<LoadedSnapshot>();
  auto Decoded = std::make_shared<Snapshot>();
  for (const auto &Hash : Content.m_ChunkHashes) {
    const auto Found = Texts.find(Hash);
    if (Found == Texts.end()) {
      return absl::FailedPreconditionError(fmt::format("chunk {} is missing", Hash));
    }
    if (auto Status = objects::decodeChunk(*Found->second, Decoded->m_Objects); !Status.ok()) {
      return Status;
    }
    Loaded->m_Chunks.insert(*Found);
  }
  if (const auto Errors = objects::checkObjects(Decoded->m_Objects); !Errors.empty()) {
    return absl::InvalidArgumentError(
        fmt::format("the published set has {} errors, the first at {}: {}", Errors.size(),
                    Errors.front().m_Field, Errors.front().m_Message));
  }
  Decoded->m_Generation = Content.m_Generation;
  Decoded->m_PublicationId = Content.m_PublicationId;
  Loaded->m_Snapshot = std::move(Decoded);
  Loaded->m_Manifest = std::move(Content);
  return Loaded;
}

} // namespace geraniumlift::configuration
