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
  /// The set is the given generation.
  Accepted,
  /// Another publication came first; nothing was published.
  Conflict,
  /// The set does not check, or what is published cannot be read; nothing was published.
  Rejected,
  /// The key-value service did not answer before the manifest was written; nothing was published.
  Unavailable,
  /// The manifest was written without a response, and the service has not answered since.
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

  /// Publishes only if this is the generation in force, 0 for none; any if not set.
  std::optional<Generation> m_ExpectedGeneration = std::nullopt;

  /// Names the publication, as isPublicationId accepts it. A repeated publication with the same ID
  /// is accepted once. Random if empty.
  std::string m_PublicationId = {};
};

struct PublishResult {
  PublishOutcome m_Outcome = PublishOutcome::Unknown;

  /// The set's generation after Accepted, the generation in force after Conflict if it is known.
  Generation m_Generation = 0;
  std::string m_PublicationId;

  /// The mistakes of a set that does not check.
  std::vector<objects::ObjectError> m_Errors;

  /// Why the outcome is not Accepted.
  absl::Status m_Status = absl::OkStatus();
};

using PublishCallback = std::function<void(PublishResult)>;

struct PublisherOptions {
  /// Pause before a call is repeated.
  std::chrono::milliseconds m_RetryInterval{200};

  /// The publication ends as Unavailable or Unknown when the service has not answered for this long
  /// in total.
  std::chrono::milliseconds m_Timeout{15'000};
};

} // namespace geraniumlift::configuration
