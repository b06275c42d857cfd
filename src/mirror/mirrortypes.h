#pragma once

#include "keyvalue/transactiontypes.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::mirror {

/// Asks a relay for the changes of the mirrored prefixes.
struct MirrorRequest {
  /// Name of the requesting router.
  std::string m_Router;

  /// Store revision up to which the requesting router knows all changes, for each prefix.
  std::vector<std::int64_t> m_Revisions;

  /// Number of the request; the answer repeats it, so that the requesting router knows how old at
  /// most the answer is, however late it arrives.
  std::uint32_t m_Number = 0;

  auto operator==(const MirrorRequest &) const -> bool = default;
};

/// Changes of the keys with one prefix.
struct PrefixChanges {
  /// The changes between these store revisions are complete: all after the first, up to and
  /// including the second. Both are 0 if the relay cannot tell.
  std::int64_t m_After = 0;
  std::int64_t m_Until = 0;

  /// Milliseconds since the store confirmed to the relay that there are no further changes.
  std::uint32_t m_AgeMs = 0;

  /// Whether a record has changed that is too large to be passed on, so that the reader must read
  /// the keys with the prefix from the store. There are no events then.
  bool m_IsTooLarge = false;

  /// Whether these are all changes that the relay knows of; otherwise the next request gets more.
  bool m_IsComplete = true;

  /// The last change of each key, in the order of revisions.
  std::vector<keyvalue::WatchEvent> m_Events;
};

/// A relay's answer, with the prefixes in the order of the request.
struct MirrorUpdate {
  std::string m_Relay;
  std::vector<PrefixChanges> m_Prefixes;

  /// Number of the request that this answers.
  std::uint32_t m_RequestNumber = 0;
};

/// Encode messages in cereal's portable binary format.
auto encodeRequest(const MirrorRequest &Message) -> std::string;
auto encodeUpdate(const MirrorUpdate &Message) -> std::string;

/// Both return InvalidArgument if the bytes are not such a message. Safe for untrusted input.
auto decodeRequest(std::string_view Bytes) -> absl::StatusOr<MirrorRequest>;
auto decodeUpdate(std::string_view Bytes) -> absl::StatusOr<MirrorUpdate>;

} // namespace geraniumlift::mirror
