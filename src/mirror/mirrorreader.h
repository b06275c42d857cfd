#pragma once

#include "base/iclock.h"
#include "mirror/mirrortypes.h"

#include <optional>

namespace geraniumlift::mirror {

/// Timeouts of a MirrorReader.
struct ReaderOptions {
  /// An update counts as current only if the store confirmed its content to the relay within this
  /// time. It covers two intervals of the relay's watches.
  std::chrono::milliseconds m_MaxAge{2000};

  /// Time without a current update after which this router follows the store itself. It leaves time
  /// for another relay to take over, so that the failure of a relay does not send all its readers
  /// to the store at once.
  std::chrono::milliseconds m_Patience{1500};
};

/// Decides whether a router gets the changes of the mirrored prefixes from a relay or follows the
/// store itself, and what of a relay's update is new to it. A relay can only delay changes, by at
/// most the patience: what a router knows never goes back to an older revision.
class MirrorReader {
public:
  MirrorReader(std::size_t PrefixCount, ReaderOptions Options)
      : m_Options(Options), m_Revisions(PrefixCount) {}

  /// Records that this router knows all changes of a prefix up to a revision.
  auto advanceTo(std::size_t Prefix, std::int64_t Revision) -> void;
  [[nodiscard]] auto revisions() const -> const std::vector<std::int64_t> & { return m_Revisions; }

  /// Returns the changes of an update that are new to this router, in the order of the prefixes.
  /// Empty unless the update continues where this router's knowledge ends.
  auto apply(const MirrorUpdate &Message, base::SteadyTime Now)
      -> std::vector<std::vector<keyvalue::WatchEvent>>;

  /// Whether this router must follow the store itself.
  [[nodiscard]] auto mustFollowStore(base::SteadyTime Now) const -> bool;

private:
  ReaderOptions m_Options;
  std::vector<std::int64_t> m_Revisions;

  /// Time of the last update that was current and complete.
  std::optional<base::SteadyTime> m_CurrentAt;
};

} // namespace geraniumlift::mirror
