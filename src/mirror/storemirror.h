#pragma once

#include "base/iclock.h"
#include "mirror/mirrortypes.h"

#include <map>
#include <set>

namespace geraniumlift::mirror {

/// The records with some key prefixes, as this router knows them from the store or from a relay,
/// with the revision at which the meaning of each last changed. Targets rewrite their records all
/// the time; a rewrite that changes nothing is not passed on.
class StoreMirror {
public:
  /// Sets a record. Meaning stands for the part of the value that matters to readers. Ignored if a
  /// newer revision of the key is known.
  auto put(const keyvalue::KeyValue &Item, std::string Meaning) -> void;

  /// Records that a key was removed.
  auto remove(const std::string &Key, std::int64_t Revision, base::SteadyTime Now) -> void;

  /// Records a listing: all keys with the prefix but these were removed. KnownUntil is the revision
  /// until which this router knew all before; keys that came and went since then are not known.
  auto keepOnly(std::string_view Prefix, const std::set<std::string> &Keys, std::int64_t KnownUntil,
                std::int64_t Revision, base::SteadyTime Now) -> void;

  /// Returns the changes of the keys with the prefix after a revision, up to the revision until
  /// which this router knows all. Ends earlier if the changes would exceed the size limit. Both
  /// revisions of the result are 0 if removals since then may be missing.
  [[nodiscard]] auto changesAfter(std::string_view Prefix, std::int64_t After,
                                  std::int64_t KnownUntil, std::size_t MaxBytes) const
      -> PrefixChanges;

  /// Drops removals that are older than the retention time.
  auto dropOldRemovals(base::SteadyTime Now) -> void;

private:
  /// Time for which removals are kept. Readers ask several times a second.
  static constexpr auto RemovalRetention = std::chrono::seconds(60);

  struct Entry {
    keyvalue::KeyValue m_Item;
    std::string m_Meaning;
    bool m_IsRemoved = false;
    base::SteadyTime m_RemovedAt;

    /// Revision of the last write of the key, whether or not it changed the meaning.
    std::int64_t m_LastWrite = 0;
  };

  std::map<std::string, Entry> m_Entries;

  /// Revision of the newest removal that was dropped.
  std::int64_t m_DroppedUntil = 0;

  /// Revisions between which a removal may be missing: those before and of a listing.
  struct Gap {
    std::int64_t m_After = 0;
    std::int64_t m_Until = 0;
  };

  /// By prefix. A long series of listings makes one gap.
  std::map<std::string, std::vector<Gap>, std::less<>> m_Gaps;

  /// Whether a removal that a reader needs, whose knowledge ends at the revision, may be missing.
  [[nodiscard]] auto mayMissRemovals(std::string_view Prefix, std::int64_t After) const -> bool;
};

} // namespace geraniumlift::mirror
