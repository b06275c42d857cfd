#include "fleet/peertable.h"

#include <algorithm>

namespace geraniumlift::fleet {

auto PeerTable::put(const RouterRecord &Record, base::SteadyTime Now) -> void {
  auto &Item = m_Peers[Record.m_Name];
  if (!Item.m_HasRecord || !(Item.m_Record == Record)) {
    Item.m_RecordChangedAt = Now;
  }
  Item.m_Record = Record;
  Item.m_HasRecord = true;
}

auto PeerTable::remove(const std::string &Name) -> void { m_Peers.erase(Name); }

auto PeerTable::recordHeartbeat(const Heartbeat &Message, base::SteadyTime Now) -> bool {
  auto &Item = m_Peers[Message.m_Router];
  const auto IsStateChange = !Item.m_HasHeartbeat || !isAlive(Item, Now) ||
                             Item.m_IsLeaving != Message.m_IsLeaving ||
                             Item.m_Incarnation != Message.m_Incarnation;
  if (Message.m_Incarnation < Item.m_Incarnation ||
      (Message.m_Incarnation == Item.m_Incarnation && Message.m_Sequence < Item.m_Sequence)) {
    // An older message is normally a delayed one. If the router was silent before, it has restarted
    // with the clock set back, and its lower incarnation is accepted.
    if (isAlive(Item, Now)) {
      return false;
    }
  }
  Item.m_Incarnation = Message.m_Incarnation;
  Item.m_Sequence = Message.m_Sequence;
  Item.m_HeartbeatAt = Now;
  Item.m_HasHeartbeat = true;
  Item.m_IsLeaving = Message.m_IsLeaving;
  Item.m_Loads.clear();
  for (const auto &Load : Message.m_Loads) {
    Item.m_Loads[Load.m_TargetHash] = Load;
  }
  Item.m_Budgets.clear();
  for (const auto &Budget : Message.m_Budgets) {
    Item.m_Budgets[Budget.m_BudgetHash] = Budget.m_Available;
  }
  return IsStateChange;
}

auto PeerTable::lastSeen(const Peer &Item) -> base::SteadyTime {
  // A new or changed record counts as a sign of life, so that a router which has just started has
  // time to send its first heartbeat.
  return Item.m_HasHeartbeat ? std::max(Item.m_HeartbeatAt, Item.m_RecordChangedAt)
                             : Item.m_RecordChangedAt;
}

auto PeerTable::isAlive(const Peer &Item, base::SteadyTime Now) const -> bool {
  return Now - lastSeen(Item) <= m_Options.m_HeartbeatTimeout;
}

auto PeerTable::peerLoad(std::string_view TargetId, base::SteadyTime Now) const
    -> forwarding::TargetLoad {
  auto Sum = forwarding::TargetLoad();
  const auto Hash = hashName(TargetId);
  for (const auto &[Name, Item] : m_Peers) {
    const auto Found = Item.m_Loads.find(Hash);
    if (Name != m_Options.m_Self && Found != Item.m_Loads.end() && isAlive(Item, Now)) {
      Sum += forwarding::TargetLoad{static_cast<base::Tokens>(Found->second.m_PendingPromptTokens),
                                    static_cast<std::int64_t>(Found->second.m_ActiveRequests)};
    }
  }
  return Sum;
}

auto PeerTable::budgetOffers(std::string_view Budget, base::SteadyTime Now) const
    -> std::vector<budget::RouterOffer> {
  auto Result = std::vector<budget::RouterOffer>();
  const auto Hash = hashName(Budget);
  for (const auto &[Name, Item] : m_Peers) {
    const auto Found = Item.m_Budgets.find(Hash);
    if (Found != Item.m_Budgets.end() && isAlivePeer(Name, Item, Now)) {
      Result.push_back({Name, static_cast<base::Tokens>(Found->second)});
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
  return Name != m_Options.m_Self && Item.m_HasRecord && !Item.m_IsLeaving && isAlive(Item, Now);
}

auto PeerTable::findRecord(const std::string &Router) const -> const RouterRecord * {
  const auto Found = m_Peers.find(Router);
  return Found == m_Peers.end() || !Found->second.m_HasRecord ? nullptr : &Found->second.m_Record;
}

auto PeerTable::otherRouters() const -> std::vector<RouterRecord> {
  auto Result = std::vector<RouterRecord>();
  for (const auto &[Name, Item] : m_Peers) {
    if (Item.m_HasRecord && Name != m_Options.m_Self) {
      Result.push_back(Item.m_Record);
    }
  }
  return Result;
}

auto PeerTable::countBudgetRouters(base::SteadyTime Now) const -> std::int64_t {
  auto Count = std::int64_t{1};
  for (const auto &[Name, Item] : m_Peers) {
    if (Name != m_Options.m_Self && Item.m_HasRecord &&
        Now - lastSeen(Item) <= m_Options.m_BudgetRouterTimeout) {
      ++Count;
    }
  }
  return Count;
}

auto PeerTable::callerAddresses(bool IsSelfLeaving, base::SteadyTime Now) const
    -> std::vector<std::string> {
  auto Alive = std::vector<std::string>();
  auto Silent = std::vector<std::string>();
  auto Others = std::size_t{0};
  for (const auto &[Name, Item] : m_Peers) {
    if (!Item.m_HasRecord) {
      continue;
    }
    if (Name == m_Options.m_Self) {
      if (!IsSelfLeaving) {
        Alive.push_back(Item.m_Record.m_CallerAddress);
      }
      continue;
    }
    ++Others;
    if (Item.m_IsLeaving && isAlive(Item, Now)) {
      continue;
    }
    (isAlive(Item, Now) ? Alive : Silent).push_back(Item.m_Record.m_CallerAddress);
  }
  if (Silent.size() * 2 > Others) {
    Alive.insert(Alive.end(), Silent.begin(), Silent.end());
  }
  if (Alive.size() > m_Options.m_MaxAddresses) {
    Alive.resize(m_Options.m_MaxAddresses);
  }
  return Alive;
}

} // namespace geraniumlift::fleet
