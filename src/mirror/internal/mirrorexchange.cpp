#include "mirror/mirrorexchange.h"

#include <algorithm>

namespace geraniumlift::mirror {

MirrorExchange::MirrorExchange(std::string Self, std::vector<std::string> Prefixes,
                               ReaderOptions Options,
                               std::map<std::string, std::chrono::milliseconds> AgeAllowances)
    : m_Self(std::move(Self)), m_Prefixes(std::move(Prefixes)),
      m_AgeAllowances(std::move(AgeAllowances)), m_Reader(m_Prefixes.size(), Options),
      m_ConfirmedAt(m_Prefixes.size()) {}

auto MirrorExchange::put(const keyvalue::KeyValue &Item, std::string Meaning) -> void {
  m_Mirror.put(Item, std::move(Meaning));
}

auto MirrorExchange::remove(const std::string &Key, std::int64_t Revision, base::SteadyTime Now)
    -> void {
  m_Mirror.remove(Key, Revision, Now);
}

auto MirrorExchange::onConfirmed(std::string_view Prefix, std::int64_t Revision,
                                 base::SteadyTime ConfirmedAt) -> void {
  for (std::size_t Index = 0; Index < m_Prefixes.size(); ++Index) {
    if (m_Prefixes[Index].starts_with(Prefix)) {
      m_Reader.advanceTo(Index, Revision);
      m_ConfirmedAt[Index] = std::max(m_ConfirmedAt[Index].value_or(ConfirmedAt), ConfirmedAt);
    }
  }
}

auto MirrorExchange::onListed(std::string_view Prefix, const std::set<std::string> &Keys,
                              std::int64_t Revision, base::SteadyTime ConfirmedAt) -> void {
  for (std::size_t Index = 0; Index < m_Prefixes.size(); ++Index) {
    if (m_Prefixes[Index].starts_with(Prefix)) {
      m_Mirror.keepOnly(m_Prefixes[Index], Keys, m_Reader.revisions()[Index], Revision,
                        ConfirmedAt);
    }
  }
  onConfirmed(Prefix, Revision, ConfirmedAt);
}

auto MirrorExchange::confirmedAt() const -> std::optional<base::SteadyTime> {
  // An empty optional is the least.
  auto Least = confirmedAt(0);
  for (std::size_t Index = 1; Index < m_Prefixes.size(); ++Index) {
    Least = std::min(Least, confirmedAt(Index));
  }
  return Least;
}

auto MirrorExchange::knownAt() const -> std::optional<base::SteadyTime> {
  auto Least = std::optional(base::SteadyTime::max());
  for (std::size_t Index = 0; Index < m_Prefixes.size(); ++Index) {
    Least = std::min(Least, std::max(confirmedAt(Index), m_Reader.confirmedAt(Index)));
  }
  return Least;
}

auto MirrorExchange::confirmedAt(std::size_t Index) const -> std::optional<base::SteadyTime> {
  const auto Found = m_AgeAllowances.find(m_Prefixes[Index]);
  if (!m_ConfirmedAt[Index] || Found == m_AgeAllowances.end()) {
    return m_ConfirmedAt[Index];
  }
  return *m_ConfirmedAt[Index] + Found->second;
}

auto MirrorExchange::revisionOf(std::string_view Prefix) const -> std::int64_t {
  const auto Found = std::find(m_Prefixes.begin(), m_Prefixes.end(), Prefix);
  return Found == m_Prefixes.end()
             ? 0
             : m_Reader.revisions()[static_cast<std::size_t>(Found - m_Prefixes.begin())];
}

auto MirrorExchange::buildRequest(base::SteadyTime Now) -> MirrorRequest {
  return {m_Self, m_Reader.revisions(), m_Reader.startRequest(Now)};
}

auto MirrorExchange::answer(const MirrorRequest &Message, base::SteadyTime Now) const
    -> MirrorUpdate {
  auto Update = MirrorUpdate{m_Self, {}, Message.m_Number};
  if (Message.m_Revisions.size() != m_Prefixes.size()) {
    return Update;
  }
  for (std::size_t Index = 0; Index < m_Prefixes.size(); ++Index) {
    auto Changes = PrefixChanges();
    if (m_ConfirmedAt[Index]) {
      Changes = m_Mirror.changesAfter(m_Prefixes[Index], Message.m_Revisions[Index],
                                      m_Reader.revisions()[Index], MaxUpdateBytes);
      if (Message.m_Revisions[Index] > m_Reader.revisions()[Index] &&
          m_AgeAllowances.contains(m_Prefixes[Index])) {
        // The requesting router knows at least as much, and this one hears from the store at long
        // intervals. That there was nothing else at the time of the confirmation stays true.
        Changes.m_After = Changes.m_Until = Message.m_Revisions[Index];
      }
      const auto IsTooLarge = [](const keyvalue::WatchEvent &Event) {
        return Event.m_Item.m_Value.size() > MaxRecordBytes;
      };
      if (std::any_of(Changes.m_Events.begin(), Changes.m_Events.end(), IsTooLarge)) {
        Changes = PrefixChanges();
        Changes.m_IsTooLarge = true;
      }
      const auto Age =
          std::chrono::duration_cast<std::chrono::milliseconds>(Now - *confirmedAt(Index));
      Changes.m_AgeMs = static_cast<std::uint32_t>(std::max<std::int64_t>(0, Age.count()));
    }
    Update.m_Prefixes.push_back(std::move(Changes));
  }
  return Update;
}

auto MirrorExchange::apply(const MirrorUpdate &Message) -> std::vector<keyvalue::WatchEvent> {
  auto Result = std::vector<keyvalue::WatchEvent>();
  for (const auto &Events : m_Reader.apply(Message)) {
    Result.insert(Result.end(), Events.begin(), Events.end());
  }
  return Result;
}

} // namespace geraniumlift::mirror
