#include "router/internal/evacuationrecords.h"

namespace geraniumlift::router {

auto EvacuationRecords::apply(const std::string &DataCentre, const Change &Item) -> void {
  if (DataCentre.empty()) {
    return;
  }
  auto &Known = m_Changes[DataCentre];
  if (Item.m_Revision >= Known.m_Revision) {
    Known = Item;
  }
}

auto EvacuationRecords::put(const std::string &DataCentre, std::int64_t Revision) -> void {
  apply(DataCentre, {Revision, true});
}

auto EvacuationRecords::remove(const std::string &DataCentre, std::int64_t Revision) -> void {
  apply(DataCentre, {Revision, false});
}

auto EvacuationRecords::keepOnly(const std::set<std::string> &DataCentres, std::int64_t Revision)
    -> void {
  for (auto &[Name, Known] : m_Changes) {
    if (Known.m_IsEvacuated && !DataCentres.contains(Name) && Revision >= Known.m_Revision) {
      Known = {Revision, false};
    }
  }
}

auto EvacuationRecords::evacuated() const -> std::set<std::string> {
  auto Result = std::set<std::string>();
  for (const auto &[Name, Known] : m_Changes) {
    if (Known.m_IsEvacuated) {
      Result.insert(Name);
    }
  }
  return Result;
}

} // namespace geraniumlift::router
