#include "fleet/peertable.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace geraniumlift::fleet {

using std::chrono::milliseconds;

namespace {

auto toTargetLoad(const ReportedLoad &Load) -> forwarding::TargetLoad {
  return {static_cast<base::Tokens>(Load.m_PendingPromptTokens),
          static_cast<std::int64_t>(Load.m_ActiveRequests)};
}

template <typename Number>
auto saturate(std::int64_t Value) -> Number {
  return static_cast<Number>(
      std::clamp<std::int64_t>(Value, 0, std::numeric_limits<Number>::max()));
}

} // namespace

auto PeerTable::peer(const std::string &Name) -> Peer & {
  const auto [Found, IsNew] = m_Peers.try_emplace(Name);
  if (IsNew) {
    Found->second.m_NameHash = hashName(Name);
  }
  return Found->second;
}

auto PeerTable::put(const RouterRecord &Record, base::SteadyTime Now) -> void {
  auto &Item = peer(Record.m_Name);
  if (Item.m_HasRecord && Item.m_Record == Record) {
    return;
  }
  Item.m_ExpectedSince = Now;
  Item.m_Record = Record;
  Item.m_HasRecord = true;
  ++m_RecordVersion;
}

auto PeerTable::remove(const std::string &Name) -> void {
  const auto Found = m_Peers.find(Name);
  if (Found != m_Peers.end()) {
    countLoad(Found->second, false);
    m_Peers.erase(Found);
    ++m_RecordVersion;
  }
}

auto PeerTable::setRole(FleetRole Role, base::SteadyTime Now) -> void {
  if (Role == m_Role) {
    return;
  }
  if (Role == FleetRole::Member) {
    m_SilentHashes.clear();
    m_LeavingHashes.clear();
    m_OverloadedHashes.clear();
    m_CutOffHashes.clear();
    for (const auto &[Name, Item] : m_Peers) {
      if (Name == m_Options.m_Self) {
        continue;
      }
      if (!isAlive(Item, Now)) {
        m_SilentHashes.insert(Item.m_NameHash);
      } else if (isLeaving(Item)) {
        m_LeavingHashes.insert(Item.m_NameHash);
      }
    }
  }
  if (m_Role == FleetRole::Member) {
    // Until now this router got no heartbeats, so their absence means nothing yet.
    for (auto &[Name, Item] : m_Peers) {
      if (isAlive(Item, Now)) {
        Item.m_ExpectedSince = Now;
      }
    }
  }
  m_Role = Role;
}

auto PeerTable::countLoad(Peer &Item, bool IsCounted) -> void {
  if (std::exchange(Item.m_IsLoadCounted, IsCounted) == IsCounted) {
    return;
  }
  for (const auto &Load : Item.m_Heartbeat.m_Loads) {
    auto &Sum = m_LoadSums[Load.m_TargetHash];
    auto Change = toTargetLoad(Load);
    if (!IsCounted) {
      Change = {-Change.m_PendingPromptTokens, -Change.m_ActiveRequests};
    }
    Sum += Change;
    if (Sum.m_ActiveRequests == 0 && Sum.m_PendingPromptTokens == 0) {
      m_LoadSums.erase(Load.m_TargetHash);
    }
  }
}

auto PeerTable::recordHeartbeat(const Heartbeat &Message, base::SteadyTime Now, milliseconds Age)
    -> bool {
  auto &Item = peer(Message.m_Router);
  const auto &Last = Item.m_Heartbeat;
  const auto ReceivedAt = Now - Age;
  const auto IsKnown = hasHeartbeat(Item);
  const auto IsSilent = !isAlive(Item, Now);
  if (IsKnown && Message.m_Incarnation == Last.m_Incarnation &&
      Message.m_Sequence == Last.m_Sequence) {
    return false;
  }
  if (Message.m_Incarnation < Last.m_Incarnation ||
      (Message.m_Incarnation == Last.m_Incarnation && Message.m_Sequence < Last.m_Sequence)) {
    // An older message is normally a delayed one. If the router was silent before, it has restarted
    // with the clock set back, and its lower incarnation is accepted.
    if (!IsSilent || ReceivedAt <= Item.m_HeartbeatAt) {
      return false;
    }
  }
  const auto IsStateChange = !IsKnown || IsSilent || Last.m_IsLeaving != Message.m_IsLeaving ||
                             Last.m_Incarnation != Message.m_Incarnation;
  countLoad(Item, false);
  Item.m_Heartbeat = Message;
  Item.m_HeartbeatAt = ReceivedAt;
  if (Message.m_Router != m_Options.m_Self && isAlive(Item, Now)) {
    countLoad(Item, true);
    m_NextLoadExpiry = std::min(m_NextLoadExpiry, ReceivedAt + m_Options.m_HeartbeatTimeout);
  }
  return IsStateChange;
}

auto PeerTable::dropSilentLoads(base::SteadyTime Now) -> void {
  if (Now <= m_NextLoadExpiry) {
    return;
  }
  m_NextLoadExpiry = base::SteadyTime::max();
  for (auto &[Name, Item] : m_Peers) {
    if (!Item.m_IsLoadCounted) {
      continue;
    }
    const auto Expiry = lastSeen(Item) + m_Options.m_HeartbeatTimeout;
    if (Now > Expiry) {
      countLoad(Item, false);
    } else {
      m_NextLoadExpiry = std::min(m_NextLoadExpiry, Expiry);
    }
  }
}

auto PeerTable::applyDigest(const FleetDigest &Message, base::SteadyTime Now) -> void {
  const auto IsOld = Message.m_Relay == m_DigestRelay &&
                     Message.m_Incarnation == m_DigestIncarnation &&
                     Message.m_Sequence <= m_DigestSequence;
  if (m_Role != FleetRole::Member || IsOld) {
    return;
  }
  m_DigestRelay = Message.m_Relay;
  m_DigestIncarnation = Message.m_Incarnation;
  m_DigestSequence = Message.m_Sequence;
  m_DigestAt = Now;
  m_SilentHashes = {Message.m_Silent.begin(), Message.m_Silent.end()};
  m_LeavingHashes = {Message.m_Leaving.begin(), Message.m_Leaving.end()};
  m_OverloadedHashes = {Message.m_Overloaded.begin(), Message.m_Overloaded.end()};
  m_CutOffHashes = {Message.m_CutOff.begin(), Message.m_CutOff.end()};
  m_DigestLoads.clear();
  for (const auto &Load : Message.m_Loads) {
    m_DigestLoads[Load.m_TargetHash] += toTargetLoad(Load);
  }
}

auto PeerTable::describeFleetFor(const std::string &Router, const Heartbeat &Own,
                                 base::SteadyTime Now, FleetDigest &Into) -> void {
  dropSilentLoads(Now);
  auto Loads = m_Role == FleetRole::Member ? m_DigestLoads : m_LoadSums;
  for (const auto &Load : Own.m_Loads) {
    Loads[Load.m_TargetHash] += toTargetLoad(Load);
  }
  if (const auto Found = m_Peers.find(Router);
      Found != m_Peers.end() && Found->second.m_IsLoadCounted) {
    for (const auto &Load : Found->second.m_Heartbeat.m_Loads) {
      const auto Reported = toTargetLoad(Load);
      Loads[Load.m_TargetHash] += {-Reported.m_PendingPromptTokens, -Reported.m_ActiveRequests};
    }
  }
  for (const auto &[Hash, Load] : Loads) {
    if (Load.m_ActiveRequests > 0) {
      Into.m_Loads.push_back({Hash, saturate<std::uint32_t>(Load.m_PendingPromptTokens),
                              saturate<std::uint16_t>(Load.m_ActiveRequests)});
    }
  }
  if (Own.m_IsLeaving) {
    Into.m_Leaving.push_back(hashName(m_Options.m_Self));
  }
  if (Own.m_IsOverloaded) {
    Into.m_Overloaded.push_back(hashName(m_Options.m_Self));
  }
  if (Own.m_IsCutOff) {
    Into.m_CutOff.push_back(hashName(m_Options.m_Self));
  }
  for (const auto &[Name, Item] : m_Peers) {
    if (!Item.m_HasRecord || Name == m_Options.m_Self) {
      continue;
    }
    if (isCutOff(Item, Now)) {
      Into.m_CutOff.push_back(Item.m_NameHash);
    }
    if (!isAlive(Item, Now)) {
      Into.m_Silent.push_back(Item.m_NameHash);
    } else if (isLeaving(Item)) {
      Into.m_Leaving.push_back(Item.m_NameHash);
    } else if (isOverloaded(Item, Now)) {
      Into.m_Overloaded.push_back(Item.m_NameHash);
    }
  }
}

auto PeerTable::heartbeatsOf(std::string_view DataCentre, base::SteadyTime Now) const
    -> std::vector<RelayedHeartbeat> {
  auto Result = std::vector<RelayedHeartbeat>();
  for (const auto &[Name, Item] : m_Peers) {
    const auto Age = Now - Item.m_HeartbeatAt;
    if (Name != m_Options.m_Self && Item.m_HasRecord && hasHeartbeat(Item) &&
        Item.m_Record.m_DataCentre == DataCentre && Age <= m_Options.m_HeartbeatTimeout) {
      const auto AgeMs = std::chrono::duration_cast<milliseconds>(Age).count();
      Result.push_back({Item.m_Heartbeat, saturate<std::uint32_t>(AgeMs)});
    }
  }
  return Result;
}

auto PeerTable::lastSeen(const Peer &Item) -> base::SteadyTime {
  // A new or changed record counts as a sign of life, so that a router which has just started has
  // time to send its first heartbeat.
  return hasHeartbeat(Item) ? std::max(Item.m_HeartbeatAt, Item.m_ExpectedSince)
                            : Item.m_ExpectedSince;
}

auto PeerTable::isAlive(const Peer &Item, base::SteadyTime Now) const -> bool {
  if (m_Role == FleetRole::Member) {
    return !m_SilentHashes.contains(Item.m_NameHash);
  }
  return Now - lastSeen(Item) <= m_Options.m_HeartbeatTimeout;
}

auto PeerTable::isLeaving(const Peer &Item) const -> bool {
  return m_Role == FleetRole::Member ? m_LeavingHashes.contains(Item.m_NameHash)
                                     : Item.m_Heartbeat.m_IsLeaving;
}

auto PeerTable::isOverloaded(const Peer &Item, base::SteadyTime Now) const -> bool {
  // What a lost relay last said of loads is soon worth nothing.
  if (m_Role == FleetRole::Member) {
    return Now - m_DigestAt <= m_Options.m_HeartbeatTimeout &&
           m_OverloadedHashes.contains(Item.m_NameHash);
  }
  return Item.m_Heartbeat.m_IsOverloaded &&
         Now - Item.m_HeartbeatAt <= m_Options.m_HeartbeatTimeout;
}

auto PeerTable::isCutOff(const Peer &Item, base::SteadyTime Now) const -> bool {
  if (m_Role == FleetRole::Member) {
    return Now - m_DigestAt <= m_Options.m_HeartbeatTimeout &&
           m_CutOffHashes.contains(Item.m_NameHash);
  }
  return Item.m_Heartbeat.m_IsCutOff && Now - Item.m_HeartbeatAt <= m_Options.m_HeartbeatTimeout;
}

auto PeerTable::carriers(base::SteadyTime Now) const -> std::vector<RouterRecord> {
  auto Result = std::vector<RouterRecord>();
  auto Overloaded = std::vector<RouterRecord>();
  for (const auto &[Name, Item] : m_Peers) {
    if (isAlivePeer(Name, Item, Now) && !isCutOff(Item, Now)) {
      (isOverloaded(Item, Now) ? Overloaded : Result).push_back(Item.m_Record);
    }
  }
  return Result.empty() ? Overloaded : Result;
}

auto PeerTable::peerLoad(std::string_view TargetId, base::SteadyTime Now)
    -> forwarding::TargetLoad {
  const auto Hash = hashName(TargetId);
  if (m_Role == FleetRole::Member) {
    const auto Found = m_DigestLoads.find(Hash);
    const auto IsFresh = Now - m_DigestAt <= m_Options.m_HeartbeatTimeout;
    return IsFresh && Found != m_DigestLoads.end() ? Found->second : forwarding::TargetLoad();
  }
  dropSilentLoads(Now);
  const auto Found = m_LoadSums.find(Hash);
  return Found == m_LoadSums.end() ? forwarding::TargetLoad() : Found->second;
}

auto PeerTable::budgetOffers(std::string_view Budget, base::SteadyTime Now) const
    -> std::vector<budget::RouterOffer> {
  auto Result = std::vector<budget::RouterOffer>();
  if (m_Role != FleetRole::Direct) {
    // Only heartbeats from router to router carry offers.
    return Result;
  }
  const auto Hash = hashName(Budget);
  for (const auto &[Name, Item] : m_Peers) {
    if (!isAlivePeer(Name, Item, Now)) {
      continue;
    }
    for (const auto &Offer : Item.m_Heartbeat.m_Budgets) {
      if (Offer.m_BudgetHash == Hash) {
        Result.push_back({Name, static_cast<base::Tokens>(Offer.m_Available)});
      }
    }
  }
  std::stable_sort(Result.begin(), Result.end(), [](const auto &Left, const auto &Right) {
    return Left.m_Available > Right.m_Available;
  });
  return Result;
}

auto PeerTable::alivePeers(base::SteadyTime Now) const -> std::set<std::string> {
  auto Result = std::set<std::string>();
  for (const auto &[Name, Item] : m_Peers) {
    if (isAlivePeer(Name, Item, Now)) {
      Result.insert(Name);
    }
  }
  return Result;
}

auto PeerTable::isAlivePeer(const std::string &Name, const Peer &Item, base::SteadyTime Now) const
    -> bool {
  return Name != m_Options.m_Self && Item.m_HasRecord && !isLeaving(Item) && isAlive(Item, Now);
}

auto PeerTable::isInContact(base::SteadyTime Now) const -> bool {
  if (m_Role == FleetRole::Member && Now - m_DigestAt > m_Options.m_HeartbeatTimeout) {
    return false;
  }
  // This router counts among both.
  auto Records = std::size_t{1};
  auto Alive = std::size_t{1};
  for (const auto &[Name, Item] : m_Peers) {
    if (Name != m_Options.m_Self && Item.m_HasRecord) {
      ++Records;
      Alive += isAlive(Item, Now) ? 1 : 0;
    }
  }
  return Alive * 2 > Records;
}

auto PeerTable::findRecord(const std::string &Router) const -> const RouterRecord * {
  const auto Found = m_Peers.find(Router);
  return Found == m_Peers.end() || !Found->second.m_HasRecord ? nullptr : &Found->second.m_Record;
}

auto PeerTable::otherRouters() const -> std::vector<std::string> {
  auto Result = std::vector<std::string>();
  for (const auto &[Name, Item] : m_Peers) {
    if (Item.m_HasRecord && Name != m_Options.m_Self) {
      Result.push_back(Name);
    }
  }
  return Result;
}

auto PeerTable::recordCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      m_Peers.begin(), m_Peers.end(), [](const auto &Item) { return Item.second.m_HasRecord; }));
}

auto PeerTable::relayCandidates() const -> std::map<std::string, std::vector<std::string>> {
  auto Records = std::map<std::string, std::vector<const RouterRecord *>>();
  for (const auto &[Name, Item] : m_Peers) {
    if (Item.m_HasRecord) {
      Records[Item.m_Record.m_DataCentre].push_back(&Item.m_Record);
    }
  }
  auto Result = std::map<std::string, std::vector<std::string>>();
  for (auto &[DataCentre, List] : Records) {
    std::sort(List.begin(), List.end(),
              [&Key = DataCentre](const RouterRecord *Left, const RouterRecord *Right) {
                const auto Rank = [&Key](const RouterRecord *Item) {
                  return std::pair(Item->m_Cores, base::rendezvousRank(Key, Item->m_Name));
                };
                return Rank(Left) > Rank(Right);
              });
    for (const auto *Item : List) {
      Result[DataCentre].push_back(Item->m_Name);
    }
  }
  return Result;
}

auto PeerTable::countBudgetRouters(base::SteadyTime Now) const -> std::int64_t {
  auto Count = std::int64_t{1};
  for (const auto &[Name, Item] : m_Peers) {
    // A member knows no times, so it counts all routers that have a record.
    if (Name != m_Options.m_Self && Item.m_HasRecord &&
        (m_Role == FleetRole::Member || Now - lastSeen(Item) <= m_Options.m_BudgetRouterTimeout)) {
      ++Count;
    }
  }
  return Count;
}

auto PeerTable::addressCandidates(bool IsSelfLeaving, base::SteadyTime Now) const
    -> std::vector<AddressCandidate> {
  auto Result = std::vector<AddressCandidate>();
  for (const auto &[Name, Item] : m_Peers) {
    const auto IsSelf = Name == m_Options.m_Self;
    const auto IsSilent = !IsSelf && !isAlive(Item, Now);
    const auto IsLeavingNow = IsSelf ? IsSelfLeaving : isLeaving(Item) && !IsSilent;
    if (Item.m_HasRecord && !IsLeavingNow) {
      Result.push_back({Name, Item.m_Record.m_CallerAddress, Item.m_Record.m_DataCentre, IsSilent,
                        IsSelf ? m_IsSelfOverloaded : isOverloaded(Item, Now),
                        carriedMbps(Item.m_Record.m_LinkMbps, Item.m_Record.m_Cores)});
    }
  }
  return Result;
}

} // namespace geraniumlift::fleet
