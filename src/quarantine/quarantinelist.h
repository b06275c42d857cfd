#pragma once

#include "quarantine/quarantinetypes.h"

#include <map>
#include <optional>
#include <set>

namespace geraniumlift::quarantine {

/// Lengths and limits of quarantines.
struct QuarantineOptions {
  /// Length of the first quarantine of a part. It doubles each time up to the maximum: after its
  /// end, requests crash at least one more target if the part still does so.
  std::chrono::milliseconds m_FirstTerm{std::chrono::minutes(5)};
  std::chrono::milliseconds m_MaxTerm{std::chrono::hours(1)};

  /// Limit on the number of quarantines. Above it, the one that ends first is dropped.
  std::size_t m_MaxEntries = 256;
};

/// A part that is in quarantine.
struct Quarantine {
  base::SteadyTime m_Since;
  base::SteadyTime m_Until;
  std::uint32_t m_Terms = 1;

  /// Revision of its record in the store; 0 if none is known.
  std::int64_t m_RecordRevision = 0;
};

/// The parts in quarantine. Does no input or output.
class QuarantineList {
public:
  explicit QuarantineList(QuarantineOptions Options) : m_Options(Options) {}

  /// Puts a part into quarantine for a further term.
  auto begin(const PartKey &Key, base::SteadyTime Now) -> const Quarantine &;

  /// Adds a quarantine that another router or the store has told of, or extends the known one.
  /// Returns whether it is new.
  auto merge(const PartKey &Key, const Quarantine &Item) -> bool;

  /// Ends the quarantines of a part that was answered after their begin. Returns their keys with
  /// the revisions of their records.
  auto release(PartHash Part, base::SteadyTime AnsweredAt)
      -> std::vector<std::pair<PartKey, std::int64_t>>;

  /// Ends one quarantine. Returns whether there was one.
  auto remove(const PartKey &Key) -> bool { return m_Entries.erase(Key) > 0; }

  /// Returns the quarantine that holds for a part of a workspace's prompt, or nullptr.
  [[nodiscard]] auto find(PartHash Part, WorkspaceHash Workspace, base::SteadyTime Now) const
      -> const Quarantine *;

  /// Removes and returns the quarantines whose term is over. The next term of their parts is
  /// longer.
  auto takeExpired(base::SteadyTime Now) -> std::vector<std::pair<PartKey, Quarantine>>;

  auto setRecordRevision(const PartKey &Key, std::int64_t Revision) -> void;
  [[nodiscard]] auto entries() const -> const std::map<PartKey, Quarantine> & { return m_Entries; }
  [[nodiscard]] auto keys() const -> std::set<PartKey>;
  [[nodiscard]] auto contains(const PartKey &Key) const -> bool { return m_Entries.contains(Key); }

  /// Length of the quarantine with the given number.
  [[nodiscard]] auto termLength(std::uint32_t Terms) const -> std::chrono::milliseconds;

private:
  struct PastTerms {
    std::uint32_t m_Terms = 0;
    base::SteadyTime m_ForgottenAt;
  };

  QuarantineOptions m_Options;
  std::map<PartKey, Quarantine> m_Entries;

  /// Quarantines that are over, for twice their length.
  std::map<PartKey, PastTerms> m_Past;
};

} // namespace geraniumlift::quarantine
