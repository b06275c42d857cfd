#pragma once

#include "base/iclock.h"
#include "streamversions/streamversiontypes.h"

#include <map>
#include <optional>

namespace geraniumlift::streamversions {

/// What this router knows of the stored records of all pools, and what is to be written to them.
/// Does no input or output.
class VersionRecords {
public:
  /// A version is taken out of a record once no target has run it for CloseAfter, which must be
  /// longer than a stream may be taken up.
  explicit VersionRecords(std::chrono::milliseconds CloseAfter) : m_CloseAfter(CloseAfter) {}

  auto setCloseAfter(std::chrono::milliseconds CloseAfter) -> void { m_CloseAfter = CloseAfter; }

  /// Records that all records in the store are known.
  auto setAllKnown() -> void { m_AreAllKnown = true; }
  [[nodiscard]] auto areAllKnown() const -> bool { return m_AreAllKnown; }

  /// Takes over a record if it is newer. Returns whether it was.
  auto adopt(const VersionRecord &Record) -> bool;

  /// Drops what is known of a record that is not in the store any more.
  auto forget(const std::string &Pool) -> void;

  /// Sets the versions of the targets of each pool.
  auto setPresent(const std::map<std::string, std::set<std::string>> &VersionsByPool,
                  base::SteadyTime Now) -> void;

  /// Whether the record of the pool names the version, so that streams may begin on it.
  [[nodiscard]] auto names(const std::string &Pool, const std::string &Version) const -> bool;

  /// The version that the record of the pool names, if it is only one.
  [[nodiscard]] auto onlyVersion(const std::string &Pool) const -> std::optional<std::string>;

  /// Whether streams that go on at the pool may have begun on several versions.
  [[nodiscard]] auto isMixed(const std::string &Pool) const -> bool;

  /// Pools whose records lack a version that targets run.
  [[nodiscard]] auto poolsToExtend() const -> std::vector<std::string>;

  /// Pools whose records name a version that no target has run for long.
  [[nodiscard]] auto poolsToClose(base::SteadyTime Now) const -> std::vector<std::string>;

  /// The record of the pool with all versions that targets run, and without those that none has run
  /// for long if Closes is set. The revision is the one on whose condition it is to be written.
  [[nodiscard]] auto nextRecord(const std::string &Pool, bool Closes, base::SteadyTime Now) const
      -> VersionRecord;

private:
  struct PoolState {
    VersionRecord m_Record;

    /// When targets were last known to run a version, by version.
    std::map<std::string, base::SteadyTime> m_LastPresent;
    std::set<std::string> m_Present;

    /// Versions that have come back after an absence: another router may be taking them out, until
    /// a newer record names them.
    std::set<std::string> m_Unconfirmed;
  };

  [[nodiscard]] static auto lacksVersion(const PoolState &State) -> bool;
  [[nodiscard]] auto isOutdated(const PoolState &State, const std::string &Version,
                                base::SteadyTime Now) const -> bool;

  std::chrono::milliseconds m_CloseAfter;
  bool m_AreAllKnown = false;
  std::map<std::string, PoolState> m_Pools;
};

} // namespace geraniumlift::streamversions
