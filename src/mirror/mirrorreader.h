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
      : m_Options(Options), m_Revisions(PrefixCount), m_ConfirmedAt(PrefixCount),
        m_ReadAt(PrefixCount) {}

  /// Records that this router knows all changes of a prefix up to a revision.
  auto advanceTo(std::size_t Prefix, std::int64_t Revision) -> void;
  [[nodiscard]] auto revisions() const -> const std::vector<std::int64_t> & { return m_Revisions; }

  /// Returns the number for a request that is sent now.
  auto startRequest(base::SteadyTime Now) -> std::uint32_t;

  /// Returns the changes of an update that are new to this router, in the order of the prefixes.
  /// Empty unless the update continues where this router's knowledge ends.
  auto apply(const MirrorUpdate &Message) -> std::vector<std::vector<keyvalue::WatchEvent>>;

  /// The prefixes of which the last update left out a record that is too large to be passed on.
  [[nodiscard]] auto tooLarge() const -> const std::vector<std::size_t> & { return m_TooLarge; }

  /// Whether the last update left out changes for the next one.
  [[nodiscard]] auto hasMore() const -> bool { return m_HasMore; }

  /// Records that this router has begun to read all keys of a prefix from the store itself, because
  /// a relay has too large a record. Until the read fails, the prefix counts as known as of now.
  auto onReadBegun(std::size_t Prefix, base::SteadyTime Now) -> void { m_ReadAt[Prefix] = Now; }
  auto onReadFailed(std::size_t Prefix) -> void { m_ReadAt[Prefix].reset(); }

  /// Time at which the store last confirmed to a relay all that this router knows from it, of one
  /// prefix or of all; nothing before the first complete update.
  [[nodiscard]] auto confirmedAt(std::size_t Prefix) const -> std::optional<base::SteadyTime> {
    return m_ConfirmedAt[Prefix];
  }
  [[nodiscard]] auto confirmedAt() const -> std::optional<base::SteadyTime>;

  /// Name of the relay that passed that on; empty before the first complete update.
  [[nodiscard]] auto confirmedBy() const -> const std::string & { return m_ConfirmedBy; }

  /// Whether this router must follow the store itself.
  [[nodiscard]] auto mustFollowStore(base::SteadyTime Now) const -> bool;

  /// Time after which mustFollowStore() becomes true without a further update.
  [[nodiscard]] auto followStoreAt() const -> std::optional<base::SteadyTime>;

private:
  /// Requests whose answers can still confirm anything. Older ones are past any maximum age.
  static constexpr auto MaxOpenRequests = std::size_t{64};

  /// Time as of which the prefix about which least is known is known.
  [[nodiscard]] auto knownAt() const -> std::optional<base::SteadyTime>;

  struct SentRequest {
    std::uint32_t m_Number = 0;
    base::SteadyTime m_SentAt;
  };

  ReaderOptions m_Options;
  std::vector<std::int64_t> m_Revisions;
  std::deque<SentRequest> m_Requests;
  std::uint32_t m_LastNumber = 0;
  bool m_HasMore = false;
  std::vector<std::size_t> m_TooLarge;
  /// By prefix.
  std::vector<std::optional<base::SteadyTime>> m_ConfirmedAt;
  std::vector<std::optional<base::SteadyTime>> m_ReadAt;
  std::string m_ConfirmedBy;
};

} // namespace geraniumlift::mirror
