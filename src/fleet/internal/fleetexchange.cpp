#include "fleet/fleetexchange.h"

#include <algorithm>

namespace geraniumlift::fleet {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Upper estimate of the encoded size of a heartbeat in bytes: its fixed fields, the lengths of its
/// lists, and the entries.
auto estimateSize(const Heartbeat &Message) -> std::size_t {
  constexpr auto FixedBytes = std::size_t{48};
  constexpr auto EntryBytes = std::size_t{10};
  return FixedBytes + Message.m_Router.size() +
         EntryBytes * (Message.m_Loads.size() + Message.m_Budgets.size());
}

} // namespace

FleetExchange::FleetExchange(ExchangeOptions Options, PeerTable &Peers)
    : m_Options(std::move(Options)), m_Peers(Peers) {}

auto FleetExchange::period() const -> milliseconds {
  return m_Peers.role() == FleetRole::Direct ? m_Options.m_DirectPeriod : m_Options.m_RelayedPeriod;
}

auto FleetExchange::tracker(const std::string &DataCentre) -> RelayTracker & {
  return m_Trackers.try_emplace(DataCentre, m_Options.m_Self, m_Options.m_Relay).first->second;
}

auto FleetExchange::updateCandidates() -> void {
  if (m_CandidatesVersion == m_Peers.recordVersion()) {
    return;
  }
  m_CandidatesVersion = m_Peers.recordVersion();
  const auto Candidates = m_Peers.relayCandidates();
  std::erase_if(m_Trackers,
                [&Candidates](const auto &Item) { return !Candidates.contains(Item.first); });
  for (const auto &[DataCentre, Names] : Candidates) {
    tracker(DataCentre).setCandidates(Names);
  }
}

auto FleetExchange::setRole(FleetRole Role, base::SteadyTime Now) -> void {
  m_Peers.setHeartbeatTimeout(Role == FleetRole::Direct ? m_Options.m_DirectTimeout
                                                        : m_Options.m_RelayedTimeout);
  m_Peers.setRole(Role, Now);
}

auto FleetExchange::advance(Heartbeat Own, base::SteadyTime Now) -> std::vector<OutgoingMessage> {
  auto Out = std::vector<OutgoingMessage>();
  if (m_Peers.recordCount() <= m_Options.m_MaxDirectFleet) {
    setRole(FleetRole::Direct, Now);
    m_CurrentRelays.clear();
    m_OtherRelays.clear();
    m_Own = std::move(Own);
    Out.push_back({m_Peers.otherRouters(), m_Own});
    return Out;
  }
  updateCandidates();
  // Relays and members learn of budgets from the owners of the shards.
  Own.m_Budgets.clear();
  m_Own = Own;
  Own.m_WantsDigest = true;
  auto &OwnTracker = tracker(m_Options.m_DataCentre);
  m_IsResigning = isResigning(Own, Now);
  OwnTracker.setSelfResigning(m_IsResigning);
  const auto Relays = OwnTracker.nextDestinations(Now);
  setRole(OwnTracker.isSelfRelay() ? FleetRole::Relay : FleetRole::Member, Now);
  m_CurrentRelays = m_Peers.role() == FleetRole::Member ? Relays : std::vector<std::string>();
  if (!Relays.empty()) {
    Out.push_back({Relays, std::move(Own)});
  }
  auto Heartbeats = m_Peers.role() == FleetRole::Relay
                        ? m_Peers.heartbeatsOf(m_Options.m_DataCentre, Now)
                        : reporterHeartbeats(Now);
  m_OtherRelays.clear();
  if (m_Peers.role() == FleetRole::Member) {
    if (!Heartbeats.empty()) {
      addBatches(std::move(Heartbeats), Relays, Out);
    }
    return Out;
  }
  Heartbeats.push_back({m_Own, 0});
  for (auto &[DataCentre, Tracker] : m_Trackers) {
    if (DataCentre != m_Options.m_DataCentre) {
      const auto Names = Tracker.nextDestinations(Now);
      m_OtherRelays.insert(m_OtherRelays.end(), Names.begin(), Names.end());
    }
  }
  addBatches(std::move(Heartbeats), m_OtherRelays, Out);
  return Out;
}

auto FleetExchange::isResigning(const Heartbeat &Own, base::SteadyTime Now) const -> bool {
  return Own.m_IsLeaving ||
         (m_OthersReachedStoreAt &&
          Now - milliseconds(Own.m_StoreAgeMs) + m_Options.m_MaxStoreLag < *m_OthersReachedStoreAt);
}

auto FleetExchange::recordStoreAge(std::uint32_t AgeMs, base::SteadyTime Now) -> void {
  const auto ReachedAt = Now - milliseconds(AgeMs);
  m_OthersReachedStoreAt = std::max(m_OthersReachedStoreAt.value_or(ReachedAt), ReachedAt);
}

auto FleetExchange::neighbours() const -> std::vector<std::string> {
  if (m_Peers.role() == FleetRole::Direct) {
    return m_Peers.otherRouters();
  }
  auto Names = std::set<std::string>(m_CurrentRelays.begin(), m_CurrentRelays.end());
  Names.insert(m_OtherRelays.begin(), m_OtherRelays.end());
  for (const auto &[Name, Item] : m_Reporters) {
    Names.insert(Name);
  }
  return {Names.begin(), Names.end()};
}

auto FleetExchange::reporterHeartbeats(base::SteadyTime Now) -> std::vector<RelayedHeartbeat> {
  std::erase_if(m_Reporters, [this, Now](const auto &Item) {
    return Now - Item.second.second > m_Options.m_RelayedTimeout;
  });
  auto Result = std::vector<RelayedHeartbeat>();
  for (const auto &[Name, Item] : m_Reporters) {
    const auto Age = duration_cast<milliseconds>(Now - Item.second);
    Result.push_back({Item.first, static_cast<std::uint32_t>(Age.count())});
  }
  return Result;
}

auto FleetExchange::addBatches(std::vector<RelayedHeartbeat> Heartbeats,
                               const std::vector<std::string> &To,
                               std::vector<OutgoingMessage> &Out) const -> void {
  if (To.empty()) {
    return;
  }
  auto Batch = HeartbeatBatch{m_Options.m_Self, m_IsResigning, {}};
  auto Size = std::size_t{0};
  for (auto &Item : Heartbeats) {
    const auto ItemSize = estimateSize(Item.m_Heartbeat);
    if (!Batch.m_Heartbeats.empty() && Size + ItemSize > m_Options.m_MaxBatchBytes) {
      Out.push_back({To, std::exchange(Batch, {m_Options.m_Self, m_IsResigning, {}})});
      Size = 0;
    }
    Size += ItemSize;
    Batch.m_Heartbeats.push_back(std::move(Item));
  }
  Out.push_back({To, std::move(Batch)});
}

auto FleetExchange::receive(const FleetMessage &Message, base::SteadyTime Now) -> ReceiveResult {
  if (const auto *Single = std::get_if<Heartbeat>(&Message)) {
    return onHeartbeat(*Single, Now);
  }
  if (const auto *Batch = std::get_if<HeartbeatBatch>(&Message)) {
    return onBatch(*Batch, Now);
  }
  return onDigest(std::get<FleetDigest>(Message), Now);
}

auto FleetExchange::onHeartbeat(const Heartbeat &Message, base::SteadyTime Now) -> ReceiveResult {
  auto Result = ReceiveResult();
  if (Message.m_Router == m_Options.m_Self) {
    return Result;
  }
  if (m_Peers.recordHeartbeat(Message, Now)) {
    Result.m_ChangedRouters.push_back(Message);
  }
  if (!Message.m_WantsDigest) {
    return Result;
  }
  m_Reporters[Message.m_Router] = {Message, Now};
  recordStoreAge(Message.m_StoreAgeMs, Now);
  auto Digest = FleetDigest();
  Digest.m_Relay = m_Options.m_Self;
  Digest.m_Incarnation = m_Own.m_Incarnation;
  Digest.m_Sequence = ++m_DigestSequence;
  Digest.m_IsResigning = m_IsResigning;
  Digest.m_StoreAgeMs = m_Own.m_StoreAgeMs;
  m_Peers.describeFleetFor(Message.m_Router, m_Own, Now, Digest);
  Result.m_Answer = OutgoingMessage{{Message.m_Router}, std::move(Digest)};
  return Result;
}

auto FleetExchange::onBatch(const HeartbeatBatch &Message, base::SteadyTime Now) -> ReceiveResult {
  auto Result = ReceiveResult();
  for (const auto &Item : Message.m_Heartbeats) {
    if (Item.m_Heartbeat.m_Router != m_Options.m_Self &&
        m_Peers.recordHeartbeat(Item.m_Heartbeat, Now, milliseconds(Item.m_AgeMs))) {
      Result.m_ChangedRouters.push_back(Item.m_Heartbeat);
    }
  }
  // A batch from the own data centre comes from a router that is not a relay and answers nothing.
  for (auto &[DataCentre, Tracker] : m_Trackers) {
    if (DataCentre != m_Options.m_DataCentre) {
      Tracker.onAnswer(Message.m_Relay, Message.m_IsResigning);
    }
  }
  return Result;
}

auto FleetExchange::onDigest(const FleetDigest &Message, base::SteadyTime Now) -> ReceiveResult {
  tracker(m_Options.m_DataCentre).onAnswer(Message.m_Relay, Message.m_IsResigning);
  recordStoreAge(Message.m_StoreAgeMs, Now);
  m_Peers.applyDigest(Message, Now);
  return {};
}

} // namespace geraniumlift::fleet
