#pragma once

#include "configuration/loadedsnapshot.h"
#include "geraniumctl/commandtypes.h"

namespace geraniumlift::geraniumctl::internal {

/// Reads the published configuration, retrying while the service does not respond. Returns
/// generation 0 with no objects if nothing has been published yet.
auto readPublishedSet(const CommandContext &Context)
    -> absl::StatusOr<configuration::SnapshotPointer>;

} // namespace geraniumlift::geraniumctl::internal
