#pragma once

#include "base/iclock.h"
#include "mirror/mirrortypes.h"

#include <deque>
#include <optional>

namespace geraniumlift::mirror {

/// Timeouts of a MirrorReader.
struct ReaderOptions {
  /// Age of what the relay's updates confirm from which on this router follows the store itself.
  std::chrono::milliseconds m_MaxAge{1000};
};

/// Decides whether a router gets the changes of the mirrored prefixes from a relay or follows the
/// store itself, and what of a relay's update is new to it. The age of its knowledge counts from
/// the store's last confirmation to the relay, so that a relay can delay changes only by the
/// maximum age, whether it is cut off, slow, frozen or gone. What a router knows never goes back to
/// an older revision.
class MirrorReader {
public:
  MirrorReader(std::size_t PrefixCount, ReaderOptions Options)
      : m_Options(Options), m_Revisions(PrefixCount) {}

  /// Records that this router knows all changes of a prefix up to a revision.
  auto advanceTo(std::size_t Prefix, std::int64_t Revision) -> void;
  [[nodiscard]] auto revisions() const -> const std::vector<std::int64_t> & { return m_Revisions; }

  /// Returns the number for a request that is sent now.
  auto startRequest(base::SteadyTime Now) -> std::uint32_t;

  /// Returns the changes of an update that are new to this router, in the order of the prefixes.
  /// Empty unless the update continues where this router's knowledge ends.
  auto apply(const MirrorUpdate &Message) -> std::vector<std::vector<keyvalue::WatchEvent>>;

  /// Whether the last update left out changes for the next one.
  [[nodiscard]] auto hasMore() const -> bool { return m_HasMore; }

  /// Time at which the store last confirmed to a relay all that this router knows from it; nothing
  /// before the first complete update.
  [[nodiscard]] auto confirmedAt() const -> std::optional<base::SteadyTime> {
    return m_ConfirmedAt;
  }

  /// Name of the relay that passed that on; empty before the first complete update.
  [[nodiscard]] auto confirmedBy() const -> const std::string & { return m_ConfirmedBy; }

  /// Whether this router must follow the store itself.
  [[nodiscard]] auto mustFollowStore(base::SteadyTime Now) const -> bool;

  /// Time after which mustFollowStore() becomes true without a further update.
  [[nodiscard]] auto followStoreAt() const -> std::optional<base::SteadyTime>;

private:
  /// Requests whose answers can still confirm anything. Older ones are past any maximum age.
  static constexpr auto MaxOpenRequests = std::size_t{64};

  struct SentRequest {
    std::uint32_t m_Number = 0;
    base::SteadyTime m_SentAt;
  };

  ReaderOptions m_Options;
  std::vector<std::int64_t> m_Revisions;
  std::deque<SentRequest> m_Requests;
  std::uint32_t m_LastNumber = 0;
  bool m_HasMore = false;
  std::optional<base::SteadyTime> m_ConfirmedAt;
  std::string m_ConfirmedBy;
};

} // namespace geraniumlift::mirror
