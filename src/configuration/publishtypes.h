#pragma once

#include "base/nametable.h"
#include "configuration/configurationtypes.h"

#include <absl/status/status.h>
#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace geraniumlift::configuration {

enum class PublishOutcome {
  /// The set was published as the given generation.
  Accepted,
  /// Another publication came first; nothing was published.
  Conflict,
  /// The set is invalid, or the published data cannot be read; nothing was published.
  Rejected,
  /// The key-value service did not respond before the manifest was sent; nothing was published.
  Unavailable,
  /// The manifest was sent, but it cannot be determined whether the publication took effect.
  Unknown,
};

inline constexpr auto PublishOutcomeNames = std::array{
    base::NamedValue<PublishOutcome>{PublishOutcome::Accepted, "accepted"},
    base::NamedValue<PublishOutcome>{PublishOutcome::Conflict, "conflict"},
    base::NamedValue<PublishOutcome>{PublishOutcome::Rejected, "rejected"},
    base::NamedValue<PublishOutcome>{PublishOutcome::Unavailable, "unavailable"},
    base::NamedValue<PublishOutcome>{PublishOutcome::Unknown, "unknown"},
};

struct PublishRequest {
  objects::ObjectSet m_Objects;

  /// Publishes only if this is the generation in force, where 0 means that nothing is published.
  /// If not set, publishes on top of any generation.
  std::optional<Generation> m_ExpectedGeneration = std::nullopt;

  /// ID of the publication, which must satisfy isPublicationId. Repeating a publication with the
  /// same ID has no further effect while the manifest lists the ID. A random ID is used if empty.
  std::string m_PublicationId = {};
};

struct PublishResult {
  PublishOutcome m_Outcome = PublishOutcome::Unknown;

  /// After Accepted the set's generation, after Conflict the generation in force; 0 if not known.
  Generation m_Generation = 0;
  std::string m_PublicationId;

  /// Errors found in an invalid set.
  std::vector<objects::ObjectError> m_Errors;

  /// Why the outcome is not Accepted.
  absl::Status m_Status = absl::OkStatus();
};

using PublishCallback = std::function<void(PublishResult)>;

struct PublisherOptions {
  /// Delay before a failed call is retried.
  std::chrono::milliseconds m_RetryInterval{200};

  /// Time from the start of a publication after which calls are no longer retried; the
  /// publication then ends as Unavailable or Unknown.
  std::chrono::milliseconds m_Timeout{15'000};
};

} // namespace geraniumlift::configuration
