#include "quarantine/quarantinelist.h"

#include <algorithm>

namespace geraniumlift::quarantine {

auto QuarantineList::termLength(std::uint32_t Terms) const -> std::chrono::milliseconds {
  constexpr auto MaxDoublings = 16U;
  const auto Doublings = std::min(std::max(Terms, 1U) - 1, MaxDoublings);
  return std::min(m_Options.m_FirstTerm * (1 << Doublings), m_Options.m_MaxTerm);
}

auto QuarantineList::begin(const PartKey &Key, base::SteadyTime Now) -> const Quarantine & {
  const auto Past = m_Past.find(Key);
  const auto Terms = Past == m_Past.end() ? 1 : Past->second.m_Terms + 1;
  auto Item = Quarantine();
  Item.m_Since = Now;
  Item.m_Until = Now + termLength(Terms);
  Item.m_Terms = Terms;
  merge(Key, Item);
  return m_Entries.at(Key);
}

auto QuarantineList::merge(const PartKey &Key, const Quarantine &Item) -> bool {
  const auto [Found, IsNew] = m_Entries.try_emplace(Key, Item);
  if (!IsNew) {
    auto &Known = Found->second;
    Known.m_Until = std::max(Known.m_Until, Item.m_Until);
    Known.m_Terms = std::max(Known.m_Terms, Item.m_Terms);
    Known.m_RecordRevision = std::max(Known.m_RecordRevision, Item.m_RecordRevision);
  }
  if (m_Entries.size() > m_Options.m_MaxEntries) {
    const auto First = std::min_element(
        m_Entries.begin(), m_Entries.end(), [&Key](const auto &Left, const auto &Right) {
          return std::pair(Left.first == Key, Left.second.m_Until) <
                 std::pair(Right.first == Key, Right.second.m_Until);
        });
    m_Entries.erase(First);
  }
  return IsNew;
}

auto QuarantineList::release(PartHash Part, base::SteadyTime AnsweredAt)
    -> std::vector<std::pair<PartKey, std::int64_t>> {
  auto Result = std::vector<std::pair<PartKey, std::int64_t>>();
  for (auto Item = m_Entries.begin(); Item != m_Entries.end();) {
    if (Item->first.m_Part == Part && AnsweredAt > Item->second.m_Since) {
      Result.emplace_back(Item->first, Item->second.m_RecordRevision);
      Item = m_Entries.erase(Item);
    } else {
      ++Item;
    }
  }
  return Result;
}

auto QuarantineList::find(PartHash Part, WorkspaceHash Workspace, base::SteadyTime Now) const
    -> const Quarantine * {
  for (const auto Scope : {Workspace, AllWorkspaces}) {
    const auto Found = m_Entries.find({Part, Scope});
    if (Found != m_Entries.end() && Now < Found->second.m_Until) {
      return &Found->second;
    }
  }
  return nullptr;
}

auto QuarantineList::takeExpired(base::SteadyTime Now)
    -> std::vector<std::pair<PartKey, Quarantine>> {
  auto Result = std::vector<std::pair<PartKey, Quarantine>>();
  for (auto Item = m_Entries.begin(); Item != m_Entries.end();) {
    if (Now < Item->second.m_Until) {
      ++Item;
      continue;
    }
    const auto Terms = Item->second.m_Terms;
    m_Past[Item->first] = {Terms, Now + 2 * termLength(Terms)};
    Result.emplace_back(*Item);
    Item = m_Entries.erase(Item);
  }
  std::erase_if(m_Past, [Now](const auto &Item) { return Now >= Item.second.m_ForgottenAt; });
  return Result;
}

auto QuarantineList::setRecordRevision(const PartKey &Key, std::int64_t Revision) -> void {
  if (const auto Found = m_Entries.find(Key); Found != m_Entries.end()) {
    Found->second.m_RecordRevision = std::max(Found->second.m_RecordRevision, Revision);
  }
}

auto QuarantineList::keys() const -> std::set<PartKey> {
  auto Result = std::set<PartKey>();
  for (const auto &[Key, Item] : m_Entries) {
    Result.insert(Key);
  }
  return Result;
}

} // namespace geraniumlift::quarantine
