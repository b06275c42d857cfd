#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace geraniumlift::router {

/// The data centres that operators have evacuated, by the newest store revision known for each. The
/// store itself, lists and relays tell of changes in any order. Does no input or output.
class EvacuationRecords {
public:
  /// Applies the writing or removal of a record as of a store revision. Changes older than the last
  /// one applied for the data centre are ignored, and so is an empty name.
  auto put(const std::string &DataCentre, std::int64_t Revision) -> void;
  auto remove(const std::string &DataCentre, std::int64_t Revision) -> void;

  /// Removes all records but these, after a complete listing.
  auto keepOnly(const std::set<std::string> &DataCentres, std::int64_t Revision) -> void;

  [[nodiscard]] auto evacuated() const -> std::set<std::string>;

private:
  /// The last change of a record.
  struct Change {
    std::int64_t m_Revision = 0;
    bool m_IsEvacuated = false;
  };

  auto apply(const std::string &DataCentre, const Change &Item) -> void;

  std::map<std::string, Change> m_Changes;
};

} // namespace geraniumlift::router
