#include "quarantine/crashattributor.h"

#include <algorithm>

namespace geraniumlift::quarantine {

auto CrashAttributor::addSuspect(const Suspect &Item, base::SteadyTime CrashedAt, bool IsConfirmed)
    -> bool {
  if (Item.m_Parts.empty() || m_SuspectCount >= m_Options.m_MaxSuspects) {
    return false;
  }
  const auto [Found, IsNew] = m_Crashes.try_emplace(Item.m_Crash);
  auto &Entry = Found->second;
  Entry.m_Time = IsNew ? CrashedAt : std::min(Entry.m_Time, CrashedAt);
  const auto IsNewlyConfirmed = IsConfirmed && !Entry.m_IsConfirmed;
  Entry.m_IsConfirmed = Entry.m_IsConfirmed || IsConfirmed;
  if (std::find(Entry.m_Suspects.begin(), Entry.m_Suspects.end(), Item) != Entry.m_Suspects.end()) {
    return IsNewlyConfirmed;
  }
  Entry.m_Suspects.push_back(Item);
  ++m_SuspectCount;
  addPresences(Item, Entry.m_Time);
  return true;
}

auto CrashAttributor::addPresences(const Suspect &Item, base::SteadyTime CrashedAt) -> void {
  for (std::size_t Index = 0; Index < Item.m_Parts.size(); ++Index) {
    const auto Part = Item.m_Parts[Index];
    auto &LastCrash = m_LastCrashes.try_emplace(Part, CrashedAt).first->second;
    LastCrash = std::max(LastCrash, CrashedAt);
    if (const auto Answered = lastAnswer(Part); Answered && *Answered > CrashedAt) {
      continue;
    }
    auto &Open = m_Presences[{Part, Item.m_Workspace}];
    Open.m_Crashes.insert(Item.m_Crash);
    for (std::size_t Other = 0; Other < Item.m_Parts.size(); ++Other) {
      if (Other != Index) {
        Open.addCompanion({Item.m_Parts[Other], Item.m_Workspace}, Other < Index);
      }
    }
  }
}

template <typename Predicate>
auto CrashAttributor::removePresences(PartHash Part, Predicate IsRemoved) -> void {
  auto Item = m_Presences.lower_bound({Part, 0});
  while (Item != m_Presences.end() && Item->first.m_Part == Part) {
    std::erase_if(Item->second.m_Crashes, IsRemoved);
    Item = Item->second.m_Crashes.empty() ? m_Presences.erase(Item) : std::next(Item);
  }
}

auto CrashAttributor::removeSuspects(CrashId Id, const Crash &Entry) -> void {
  m_SuspectCount -= Entry.m_Suspects.size();
  for (const auto &Item : Entry.m_Suspects) {
    for (const auto Part : Item.m_Parts) {
      removePresences(Part, [Id](CrashId Other) { return Other == Id; });
    }
  }
}

auto CrashAttributor::confirmCrash(CrashId Crash) -> void {
  if (const auto Found = m_Crashes.find(Crash); Found != m_Crashes.end()) {
    Found->second.m_IsConfirmed = true;
  }
}

auto CrashAttributor::dropUnconfirmedCrash(CrashId Crash) -> void {
  const auto Found = m_Crashes.find(Crash);
  if (Found != m_Crashes.end() && !Found->second.m_IsConfirmed) {
    removeSuspects(Crash, Found->second);
    m_Crashes.erase(Found);
  }
}

auto CrashAttributor::addAnswer(PartHash Part, base::SteadyTime At) -> bool {
  const auto [Found, IsNew] = m_Answers.try_emplace(Part, At);
  if (!IsNew && Found->second >= At) {
    return false;
  }
  Found->second = At;
  removePresences(Part, [this, At](CrashId Id) { return m_Crashes.at(Id).m_Time < At; });
  return true;
}

auto CrashAttributor::lastAnswer(PartHash Part) const -> std::optional<base::SteadyTime> {
  const auto Found = m_Answers.find(Part);
  return Found == m_Answers.end() ? std::nullopt : std::optional(Found->second);
}

auto CrashAttributor::distrust(const PartKey &Key, base::SteadyTime Until) -> void {
  m_Distrusted[Key] = Until;
}

auto CrashAttributor::presences(CrashScope Scope) const -> PresenceMap {
  auto Result = PresenceMap();
  for (const auto &[Key, Open] : m_Presences) {
    auto Counted = Open;
    std::erase_if(Counted.m_Crashes, [this, Scope](CrashId Id) {
      return Scope == CrashScope::Confirmed && !m_Crashes.at(Id).m_IsConfirmed;
    });
    if (!Counted.m_Crashes.empty()) {
      Result.emplace(Key, std::move(Counted));
    }
  }
  addSharedPresences(Result);
  return Result;
}

auto CrashAttributor::hasCandidate(base::SteadyTime Now) const -> bool {
  // The presences of a part lie side by side, one for each workspace.
  auto Sum = std::size_t{0};
  auto Part = PartHash{0};
  for (const auto &[Key, Open] : m_Presences) {
    Sum = Key.m_Part == Part ? Sum + Open.m_Crashes.size() : Open.m_Crashes.size();
    Part = Key.m_Part;
    if (Sum >= std::min(threshold(Key, Now), threshold({Part, AllWorkspaces}, Now))) {
      return true;
    }
  }
  return false;
}

auto CrashAttributor::Presence::addCompanion(const PartKey &Key, bool IsBefore) -> void {
  const auto [Found, IsNew] = m_Companions.try_emplace(Key, IsBefore);
  Found->second = Found->second && IsBefore;
}

auto CrashAttributor::addSharedPresences(PresenceMap &Presences) -> void {
  auto ByPart = std::map<PartHash, std::vector<const Presence *>>();
  for (const auto &[Key, Item] : Presences) {
    ByPart[Key.m_Part].push_back(&Item);
  }
  auto Shared = PresenceMap();
  for (const auto &[Part, Items] : ByPart) {
    auto Seen = std::map<CrashId, int>();
    for (const auto *Item : Items) {
      for (const auto Id : Item->m_Crashes) {
        ++Seen[Id];
      }
    }
    const auto Independent = std::count_if(Items.begin(), Items.end(), [&Seen](const auto *Item) {
      return std::any_of(Item->m_Crashes.begin(), Item->m_Crashes.end(),
                         [&Seen](CrashId Id) { return Seen[Id] == 1; });
    });
    if (Independent < 2) {
      continue;
    }
    auto &Union = Shared[{Part, AllWorkspaces}];
    for (const auto *Item : Items) {
      Union.m_Crashes.insert(Item->m_Crashes.begin(), Item->m_Crashes.end());
      for (const auto &[Other, IsBefore] : Item->m_Companions) {
        Union.addCompanion({Other.m_Part, AllWorkspaces}, IsBefore);
      }
    }
  }
  Presences.merge(Shared);
}

auto CrashAttributor::countIncidents(const std::set<CrashId> &Crashes) const -> std::size_t {
  auto Times = std::vector<base::SteadyTime>();
  for (const auto Id : Crashes) {
    Times.push_back(m_Crashes.at(Id).m_Time);
  }
  std::sort(Times.begin(), Times.end());
  auto Count = std::size_t{0};
  auto Last = base::SteadyTime();
  for (const auto Time : Times) {
    if (Count == 0 || Time - Last >= m_Options.m_MinSpacing) {
      ++Count;
      Last = Time;
    }
  }
  return Count;
}

auto CrashAttributor::threshold(const PartKey &Key, base::SteadyTime Now) const -> std::size_t {
  if (const auto Found = m_Distrusted.find(Key);
      Found != m_Distrusted.end() && Now < Found->second) {
    return 1;
  }
  const auto Answered = m_Answers.find(Key.m_Part);
  if (Answered == m_Answers.end()) {
    return m_Options.m_UnansweredCrashes;
  }
  return Now - Answered->second < m_Options.m_MinUnansweredTime ? SIZE_MAX
                                                                : m_Options.m_AnsweredCrashes;
}

auto CrashAttributor::hasRival(const PartKey &Key, const PresenceMap &Presences) const -> bool {
  const auto &Own = Presences.at(Key);
  for (const auto &[Other, Presence] : Presences) {
    if (Other.m_Part == Key.m_Part || m_Answers.contains(Other.m_Part) ||
        !std::includes(Presence.m_Crashes.begin(), Presence.m_Crashes.end(), Own.m_Crashes.begin(),
                       Own.m_Crashes.end())) {
      continue;
    }
    // Of parts that occur together only, the last one is blamed: fewer requests have it.
    const auto Companion = Own.m_Companions.find({Other.m_Part, Key.m_Workspace});
    if (Companion == Own.m_Companions.end() || !Companion->second) {
      return true;
    }
  }
  return false;
}

auto CrashAttributor::blamedParts(CrashScope Scope, base::SteadyTime Now) const
    -> std::vector<BlamedPart> {
  if (!hasCandidate(Now)) {
    return {};
  }
  auto Open = presences(Scope);
  auto Result = std::vector<BlamedPart>();
  while (true) {
    auto Best = std::optional<BlamedPart>();
    for (const auto &[Key, Presence] : Open) {
      const auto Crashes = countIncidents(Presence.m_Crashes);
      if (Crashes < threshold(Key, Now) || (Best && Crashes < Best->m_Crashes)) {
        continue;
      }
      if (hasRival(Key, Open) && Crashes < m_Options.m_AmbiguousCrashes) {
        continue;
      }
      // Among parts with the same crashes, one that stands behind the others in all requests.
      const auto &Companions = Presence.m_Companions;
      const auto IsBehindBest =
          Best && Companions.contains(Best->m_Key) && Companions.at(Best->m_Key);
      if (!Best || Crashes > Best->m_Crashes || IsBehindBest) {
        Best = BlamedPart{Key, Crashes};
      }
    }
    if (!Best) {
      break;
    }
    Result.push_back(*Best);
    const auto Explained = Open.at(Best->m_Key).m_Crashes;
    for (auto Item = Open.begin(); Item != Open.end();) {
      for (const auto Id : Explained) {
        Item->second.m_Crashes.erase(Id);
      }
      Item = Item->second.m_Crashes.empty() ? Open.erase(Item) : std::next(Item);
    }
  }
  return Result;
}

auto CrashAttributor::lastCrash(PartHash Part) const -> std::optional<base::SteadyTime> {
  const auto Found = m_LastCrashes.find(Part);
  return Found == m_LastCrashes.end() ? std::nullopt : std::optional(Found->second);
}

auto CrashAttributor::suspectsOf(CrashId Crash) const -> std::vector<TimedSuspect> {
  auto Result = std::vector<TimedSuspect>();
  if (const auto Found = m_Crashes.find(Crash); Found != m_Crashes.end()) {
    for (const auto &Item : Found->second.m_Suspects) {
      Result.push_back({Item, Found->second.m_Time});
    }
  }
  return Result;
}

auto CrashAttributor::openSuspects(const std::set<PartKey> &Explained) const
    -> std::vector<TimedSuspect> {
  auto Ranked = std::vector<std::pair<std::size_t, TimedSuspect>>();
  for (const auto &[Id, Entry] : m_Crashes) {
    if (!Entry.m_IsConfirmed) {
      continue;
    }
    const auto IsExplained = std::any_of(
        Entry.m_Suspects.begin(), Entry.m_Suspects.end(), [&Explained](const Suspect &Item) {
          return std::any_of(Item.m_Parts.begin(), Item.m_Parts.end(),
                             [&Explained, &Item](PartHash Part) {
                               return Explained.contains({Part, Item.m_Workspace}) ||
                                      Explained.contains({Part, AllWorkspaces});
                             });
        });
    if (IsExplained) {
      continue;
    }
    for (const auto &Item : Entry.m_Suspects) {
      auto Rank = std::size_t{0};
      for (const auto Part : Item.m_Parts) {
        if (const auto Found = m_Presences.find({Part, Item.m_Workspace});
            Found != m_Presences.end() && Found->second.m_Crashes.contains(Id)) {
          Rank = std::max(Rank, Found->second.m_Crashes.size());
        }
      }
      if (Rank > 0) {
        Ranked.emplace_back(Rank, TimedSuspect{Item, Entry.m_Time});
      }
    }
  }
  std::stable_sort(Ranked.begin(), Ranked.end(), [](const auto &Left, const auto &Right) {
    return std::pair(Left.first, Left.second.m_CrashedAt) >
           std::pair(Right.first, Right.second.m_CrashedAt);
  });
  auto Result = std::vector<TimedSuspect>();
  for (auto &[Rank, Item] : Ranked) {
    Result.push_back(std::move(Item));
  }
  return Result;
}

auto CrashAttributor::removeExpired(base::SteadyTime Now) -> void {
  for (auto Item = m_Crashes.begin(); Item != m_Crashes.end();) {
    if (Now - Item->second.m_Time <= m_Options.m_Lifetime) {
      ++Item;
      continue;
    }
    removeSuspects(Item->first, Item->second);
    Item = m_Crashes.erase(Item);
  }
  const auto IsOld = [this, Now](const auto &Item) {
    return Now - Item.second > m_Options.m_Lifetime;
  };
  absl::erase_if(m_Answers, IsOld);
  absl::erase_if(m_LastCrashes, IsOld);
  std::erase_if(m_Distrusted, [Now](const auto &Item) { return Now >= Item.second; });
}

} // namespace geraniumlift::quarantine
