#include "mirror/storemirror.h"

#include <algorithm>

namespace geraniumlift::mirror {

namespace {

/// Most gaps that are kept apart. A router lists when it starts and after the store has dropped its
/// history.
constexpr auto MaxGaps = std::size_t{8};

} // namespace

auto StoreMirror::put(const keyvalue::KeyValue &Item, std::string Meaning) -> void {
  auto &Entry = m_Entries[Item.m_Key];
  if (Item.m_ModRevision < Entry.m_LastWrite) {
    return;
  }
  Entry.m_LastWrite = Item.m_ModRevision;
  if (!Entry.m_IsRemoved && Entry.m_Item.m_ModRevision != 0 && Entry.m_Meaning == Meaning) {
    return;
  }
  Entry.m_Item = Item;
  Entry.m_Meaning = std::move(Meaning);
  Entry.m_IsRemoved = false;
}

auto StoreMirror::remove(const std::string &Key, std::int64_t Revision, base::SteadyTime Now)
    -> void {
  auto &Entry = m_Entries[Key];
  if (Revision < Entry.m_LastWrite || Entry.m_IsRemoved) {
    return;
  }
  Entry.m_LastWrite = Revision;
  Entry.m_Item = {Key, "", 0, Revision};
  Entry.m_IsRemoved = true;
  Entry.m_RemovedAt = Now;
}

auto StoreMirror::keepOnly(std::string_view Prefix, const std::set<std::string> &Keys,
                           std::int64_t KnownUntil, std::int64_t Revision, base::SteadyTime Now)
    -> void {
  auto Gone = std::vector<std::string>();
  for (auto Item = m_Entries.lower_bound(std::string(Prefix));
       Item != m_Entries.end() && Item->first.starts_with(Prefix); ++Item) {
    if (!Keys.contains(Item->first)) {
      Gone.push_back(Item->first);
    }
  }
  for (const auto &Key : Gone) {
    remove(Key, Revision, Now);
  }
  auto &Gaps = m_Gaps[std::string(Prefix)];
  if (KnownUntil < Revision) {
    Gaps.push_back({KnownUntil, Revision});
  }
  if (Gaps.size() > MaxGaps) {
    Gaps = {{Gaps.front().m_After, Gaps.back().m_Until}};
  }
}

auto StoreMirror::mayMissRemovals(std::string_view Prefix, std::int64_t After) const -> bool {
  const auto Gaps = m_Gaps.find(Prefix);
  return After < m_DroppedUntil ||
         (Gaps != m_Gaps.end() &&
          std::any_of(Gaps->second.begin(), Gaps->second.end(), [After](const Gap &Item) {
            return Item.m_After < After && After < Item.m_Until;
          }));
}

auto StoreMirror::changesAfter(std::string_view Prefix, std::int64_t After, std::int64_t KnownUntil,
                               std::size_t MaxBytes) const -> PrefixChanges {
  auto Result = PrefixChanges();
  if (KnownUntil < After || mayMissRemovals(Prefix, After)) {
    return Result;
  }
  auto Changed = std::vector<const Entry *>();
  for (auto Item = m_Entries.lower_bound(std::string(Prefix));
       Item != m_Entries.end() && Item->first.starts_with(Prefix); ++Item) {
    const auto Revision = Item->second.m_Item.m_ModRevision;
    if (Revision > After && Revision <= KnownUntil) {
      Changed.push_back(&Item->second);
    }
  }
  std::sort(Changed.begin(), Changed.end(), [](const Entry *Left, const Entry *Right) {
    return Left->m_Item.m_ModRevision < Right->m_Item.m_ModRevision;
  });
  Result.m_After = After;
  Result.m_Until = KnownUntil;
  auto Bytes = std::size_t{0};
  for (const auto *Entry : Changed) {
    Bytes += Entry->m_Item.m_Key.size() + Entry->m_Item.m_Value.size();
    // Keys that were written together have one revision and must not be separated.
    if (Bytes > MaxBytes && !Result.m_Events.empty() &&
        Result.m_Events.back().m_Item.m_ModRevision < Entry->m_Item.m_ModRevision) {
      Result.m_Until = Result.m_Events.back().m_Item.m_ModRevision;
      Result.m_IsComplete = false;
      break;
    }
    Result.m_Events.push_back({Entry->m_Item, Entry->m_IsRemoved});
  }
  return Result;
}

auto StoreMirror::dropOldRemovals(base::SteadyTime Now) -> void {
  std::erase_if(m_Entries, [this, Now](const auto &Item) {
    const auto &Entry = Item.second;
    const auto IsOld = Entry.m_IsRemoved && Now - Entry.m_RemovedAt > RemovalRetention;
    if (IsOld) {
      m_DroppedUntil = std::max(m_DroppedUntil, Entry.m_Item.m_ModRevision);
    }
    return IsOld;
  });
}

} // namespace geraniumlift::mirror
