#include "geraniumctl/internal/publishedset.h"

#include "configuration/snapshotreader.h"
#include "geraniumctl/internal/await.h"
#include "geraniumctl/internal/retry.h"

namespace geraniumlift::geraniumctl::internal {

auto readPublishedSet(const CommandContext &Context)
    -> absl::StatusOr<configuration::SnapshotPointer> {
  using Result = absl::StatusOr<configuration::LoadedSnapshotPointer>;
  auto Reader = configuration::SnapshotReader(*Context.m_Store);
  const auto Loaded = retryWhileUnreachable(
      Context, [&] { return await<Result>([&](auto Done) { Reader.readNewer(0, Done); }); });
  if (!Loaded.ok()) {
    return Loaded.status();
  }
  return *Loaded ? (*Loaded)->m_Snapshot : std::make_shared<const configuration::Snapshot>();
}

} // namespace geraniumlift::geraniumctl::internal
