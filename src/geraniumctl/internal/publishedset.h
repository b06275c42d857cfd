#pragma once

#include "configuration/loadedsnapshot.h"
#include "geraniumctl/commandtypes.h"

namespace geraniumlift::geraniumctl::internal {

/// Reads what is published, trying again while the service does not answer. Generation 0 with no
/// objects if nothing was published yet.
auto readPublishedSet(const CommandContext &Context)
    -> absl::StatusOr<configuration::SnapshotPointer>;

} // namespace geraniumlift::geraniumctl::internal
