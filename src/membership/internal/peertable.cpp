#include "peertable.h"

#include "heartbeatcodec.h"

#include "base/hashing.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <tuple>
#include <utility>

namespace geraniumlift::membership {

namespace {

/// A heartbeat encodes the number of its entries and of its digests in one byte each.
constexpr std::size_t MaxListLength = std::numeric_limits<std::uint8_t>::max();
constexpr auto RouterHashBits = 24;

auto isSuspected(base::SteadyTime LastCounterIncrease, base::SteadyTime Now) -> bool {
  return Now - LastCounterIncrease >= SuspectAfter;
}

/// Appends the addresses, rotated left by the given number of places.
auto appendRotated(std::vector<EntryAddress> &Result, std::vector<EntryAddress> Addresses,
                   std::uint64_t Rotation) -> void {
  if (Addresses.empty()) {
    return;
  }
  const auto Start = static_cast<std::ptrdiff_t>(Rotation % Addresses.size());
  std::rotate(Addresses.begin(), Addresses.begin() + Start, Addresses.end());
  std::ranges::move(Addresses, std::back_inserter(Result));
}

} // namespace

auto routerHash(std::string_view Vm, std::uint64_t Incarnation) -> std::uint32_t {
  return static_cast<std::uint32_t>(base::hash64(fmt::format("{}/{}", Vm, Incarnation)) >>
                                    (64 - RouterHashBits));
}

PeerTable::PeerTable(PeerEntry Self, std::vector<std::string> Seeds, std::uint64_t RandomSeed)
    : m_Self(std::move(Self)), m_Seeds(std::move(Seeds)), m_Random(RandomSeed) {
  std::erase(m_Seeds, m_Self.m_PeerAddress);
}

auto PeerTable::setBudgets(const std::vector<AdvertisedBudget> &Budgets) -> void {
  m_Self.m_Budgets.clear();
  auto Bytes = std::size_t{0};
  for (const auto &Budget : Budgets) {
    const auto Needed = Budget.m_Name.size() + sizeof(Budget.m_Allowance) + 1;
    if (Budget.m_Name.size() <= MaxNameBytes && Bytes + Needed <= MaxAdvertisedBytes &&
        m_Self.m_Budgets.size() < MaxAdvertisedBudgets) {
      m_Self.m_Budgets.push_back(Budget);
      Bytes += Needed;
    }
  }
}

auto PeerTable::merge(const Heartbeat &Received, base::SteadyTime Now) -> std::vector<PeerEntry> {
  auto Ahead = std::vector<PeerEntry>();
  if (!isRecent(Received)) {
    return Ahead;
  }
  for (const auto &Entry : Received.m_Entries) {
    const auto *Raised = mergeEntry(Entry, Now);
    if (Raised != nullptr && Raised->m_Generation > m_Self.m_Generation) {
      Ahead.push_back(*Raised);
    }
  }
  for (const auto &Digest : Received.m_Digests) {
    mergeDigest(Digest, Now);
  }
  return Ahead;
}

auto PeerTable::isRecent(const Heartbeat &Received) const -> bool {
  if (Received.m_Entries.empty()) {
    return false;
  }
  const auto &Sender = Received.m_Entries.front();
  const auto Known = m_Records.find(Sender.m_Vm);
  if (Known != m_Records.end()) {
    const auto &Entry = Known->second.m_Entry;
    return Sender.m_Incarnation > Entry.m_Incarnation ||
           (Sender.m_Incarnation == Entry.m_Incarnation &&
            Sender.m_Counter + MaxRoundsBehind >= Known->second.m_Counter);
  }
  const auto Old = m_ForgottenPeers.find(Sender.m_Vm);
  return Old == m_ForgottenPeers.end() ||
         std::tie(Sender.m_Incarnation, Sender.m_Counter) >
             std::tie(Old->second.m_Incarnation, Old->second.m_Counter);
}

auto PeerTable::rebuildHashIndex() -> void {
  m_RecordsByHash.clear();
  for (auto &[Vm, Record] : m_Records) {
    const auto [Position, Added] = m_RecordsByHash.try_emplace(Record.m_RouterHash, &Record);
    Position->second = Added ? &Record : nullptr;
  }
}

auto PeerTable::insert(const PeerEntry &Entry, base::SteadyTime Now) -> const PeerEntry * {
  const auto Old = m_ForgottenPeers.find(Entry.m_Vm);
  if (Old != m_ForgottenPeers.end() &&
      std::tie(Entry.m_Incarnation, Entry.m_Counter) <=
          std::tie(Old->second.m_Incarnation, Old->second.m_Counter)) {
    return nullptr;
  }
  m_ForgottenPeers.erase(Entry.m_Vm);
  auto &Added = m_Records[Entry.m_Vm];
  Added = Record{.m_Entry = Entry,
                 .m_Counter = Entry.m_Counter,
                 .m_RouterHash = routerHash(Entry.m_Vm, Entry.m_Incarnation),
                 .m_LastCounterIncrease = Now};
  rebuildHashIndex();
  return &Added.m_Entry;
}

auto PeerTable::mergeEntry(const PeerEntry &Entry, base::SteadyTime Now) -> const PeerEntry * {
  if (Entry.m_Vm == m_Self.m_Vm) {
    return nullptr;
  }
  const auto Found = m_Records.find(Entry.m_Vm);
  if (Found == m_Records.end() || Entry.m_Incarnation > Found->second.m_Entry.m_Incarnation) {
    return insert(Entry, Now);
  }
  auto &Known = Found->second;
  if (Entry.m_Incarnation < Known.m_Entry.m_Incarnation) {
    return nullptr;
  }
  raiseCounter(Known, Entry.m_Counter, Now);
  if (Entry.m_Version <= Known.m_Entry.m_Version) {
    return nullptr;
  }
  const auto Raised = Entry.m_Generation > Known.m_Entry.m_Generation;
  if (Raised || Entry.m_State != Known.m_Entry.m_State) {
    Known.m_LastEntryHeartbeat = 0;
  }
  Known.m_Entry = Entry;
  return Raised ? &Known.m_Entry : nullptr;
}

auto PeerTable::mergeDigest(const PeerDigest &Digest, base::SteadyTime Now) -> void {
  const auto Found = m_RecordsByHash.find(Digest.m_RouterHash);
  if (Found == m_RecordsByHash.end() || Found->second == nullptr) {
    return;
  }
  auto &Known = *Found->second;
  const auto Rise = static_cast<std::int8_t>(Digest.m_CounterBits - Known.m_Counter);
  if (Rise > 0) {
    raiseCounter(Known, Known.m_Counter + static_cast<std::uint32_t>(Rise), Now);
  }
}

auto PeerTable::raiseCounter(Record &Known, std::uint32_t Counter, base::SteadyTime Now) -> void {
  if (Counter > Known.m_Counter) {
    Known.m_Counter = Counter;
    Known.m_LastCounterIncrease = Now;
  }
}

auto PeerTable::forgetPeer(Records::iterator Position) -> void {
  const auto &Record = Position->second;
  m_ForgottenPeers[Position->first] = {Record.m_Entry.m_Incarnation, Record.m_Counter,
                                       Record.m_Entry.m_PeerAddress, Record.m_LastCounterIncrease};
  if (m_ForgottenPeers.size() > MaxForgottenPeers) {
    m_ForgottenPeers.erase(std::ranges::min_element(m_ForgottenPeers, {}, [](const auto &Entry) {
      return Entry.second.m_LastCounterIncrease;
    }));
  }
}

auto PeerTable::probeCandidates(base::SteadyTime Now) const -> std::vector<std::string> {
  auto Addresses = m_Seeds;
  for (const auto &[Vm, Record] : m_Records) {
    if (isSuspected(Record.m_LastCounterIncrease, Now)) {
      Addresses.push_back(Record.m_Entry.m_PeerAddress);
    }
  }
  for (const auto &[Vm, ForgottenPeer] : m_ForgottenPeers) {
    Addresses.push_back(ForgottenPeer.m_PeerAddress);
  }
  return Addresses;
}

auto PeerTable::pickRandom(const std::vector<std::string> &Addresses) -> std::string {
  return Addresses[m_Random() % Addresses.size()];
}

auto PeerTable::beginRound(base::SteadyTime Now) -> std::vector<std::string> {
  m_Self.m_Version = ++m_Self.m_Counter;
  ++m_Round;
  for (auto Position = m_Records.begin(); Position != m_Records.end();) {
    if (Now - Position->second.m_LastCounterIncrease >= ForgetAfter) {
      forgetPeer(Position);
      Position = m_Records.erase(Position);
      rebuildHashIndex();
    } else {
      ++Position;
    }
  }
  auto Chosen = std::vector<Record *>();
  std::ranges::sample(liveRecords(Now), std::back_inserter(Chosen), Fanout, m_Random);
  auto Destinations = std::vector<std::string>();
  for (const auto *Peer : Chosen) {
    Destinations.push_back(Peer->m_Entry.m_PeerAddress);
  }
  const auto Candidates = probeCandidates(Now);
  if (!Candidates.empty() && (Destinations.size() < Fanout || m_Round % ProbeIntervalRounds == 0)) {
    Destinations.resize(std::min(Destinations.size(), Fanout - 1));
    Destinations.push_back(pickRandom(Candidates));
  }
  return Destinations;
}

auto PeerTable::liveRecords(base::SteadyTime Now) -> std::vector<Record *> {
  auto Live = std::vector<Record *>();
  for (auto &[Vm, Record] : m_Records) {
    if (!isSuspected(Record.m_LastCounterIncrease, Now)) {
      Live.push_back(&Record);
    }
  }
  return Live;
}

auto PeerTable::buildHeartbeat(std::size_t MaxBytes, base::SteadyTime Now) -> Heartbeat {
  ++m_HeartbeatNumber;
  auto Message = Heartbeat{.m_Entries = {m_Self}, .m_Digests = {}};
  const auto Own = HeartbeatBaseBytes + encodedBytes(m_Self);
  const auto Space = MaxBytes - std::min(MaxBytes, Own);
  addDigests(Message, Space / 3 * 2, Now);
  addEntries(Message, Space - Message.m_Digests.size() * DigestBytes, Now);
  return Message;
}

auto PeerTable::addEntries(Heartbeat &Message, std::size_t Space, base::SteadyTime Now) -> void {
  auto Live = liveRecords(Now);
  std::ranges::sort(Live, {}, &Record::m_LastEntryHeartbeat);
  for (auto *Peer : Live) {
    const auto Needed = encodedBytes(Peer->m_Entry);
    if (Needed > Space || Message.m_Entries.size() == MaxListLength) {
      break;
    }
    Message.m_Entries.push_back(Peer->m_Entry);
    Message.m_Entries.back().m_Counter = Peer->m_Counter;
    Peer->m_LastEntryHeartbeat = m_HeartbeatNumber;
    Space -= Needed;
  }
}

auto PeerTable::addDigests(Heartbeat &Message, std::size_t Space, base::SteadyTime Now) -> void {
  auto News = liveRecords(Now);
  const auto Count = std::min({Space / DigestBytes, News.size(), MaxListLength});
  const auto End = News.begin() + static_cast<std::ptrdiff_t>(Count);
  std::ranges::partial_sort(News, End, {}, &Record::m_LastDigestHeartbeat);
  for (auto Position = News.begin(); Position != End; ++Position) {
    auto *Peer = *Position;
    Message.m_Digests.push_back({Peer->m_RouterHash, static_cast<std::uint8_t>(Peer->m_Counter)});
    Peer->m_LastDigestHeartbeat = m_HeartbeatNumber;
  }
}

auto PeerTable::peers(base::SteadyTime Now) const -> std::vector<PeerView> {
  auto Views = std::vector<PeerView>();
  for (const auto &[Vm, Record] : m_Records) {
    Views.push_back({Record.m_Entry, isSuspected(Record.m_LastCounterIncrease, Now)});
    Views.back().m_Entry.m_Counter = Record.m_Counter;
  }
  return Views;
}

auto PeerTable::entryList(std::string_view DataCentre, std::uint64_t Rotation,
                          base::SteadyTime Now) const -> std::vector<EntryAddress> {
  auto Near = std::vector<EntryAddress>();
  auto Far = std::vector<EntryAddress>();
  const auto Add = [&](const PeerEntry &Entry) {
    auto &Group = Entry.m_DataCentre == DataCentre ? Near : Far;
    Group.push_back({Entry.m_CallerUrl, Entry.m_DataCentre});
  };
  if (m_Self.m_State == PeerState::Up) {
    Add(m_Self);
  }
  for (const auto &[Vm, Record] : m_Records) {
    if (Record.m_Entry.m_State == PeerState::Up &&
        !isSuspected(Record.m_LastCounterIncrease, Now)) {
      Add(Record.m_Entry);
    }
  }
  auto List = std::vector<EntryAddress>();
  appendRotated(List, std::move(Near), Rotation);
  appendRotated(List, std::move(Far), Rotation);
  return List;
}

} // namespace geraniumlift::membership
