#include "fleet/fleetexchange.h"

#include "base/random.h"

#include <boost/random/uniform_real_distribution.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <queue>

using namespace geraniumlift;
using namespace geraniumlift::fleet;
using namespace std::chrono_literals;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr auto Start = base::SteadyTime(1h);

/// Plays the exchanges of a whole fleet in five data centres, with datagrams that are late or lost.
/// Each router has one request on the target "t".
class PlayedFleet {
public:
  struct Node {
    Node(const ExchangeOptions &Options, const PeerOptions &Peers)
        : m_Peers(Peers), m_Exchange(Options, m_Peers) {}

    PeerTable m_Peers;
    FleetExchange m_Exchange;
    std::string m_Name;
    std::string m_DataCentre;
    std::uint64_t m_Incarnation = 100;
    std::uint32_t m_Sequence = 0;
    bool m_IsRunning = true;
    bool m_IsLeaving = false;
    bool m_IsOverloaded = false;

    /// When the store last answered; now while not set.
    std::optional<base::SteadyTime> m_StoreLostAt;
    std::size_t m_MessagesSent = 0;
    std::size_t m_MessagesReceived = 0;
    std::size_t m_BytesReceived = 0;
  };

  explicit PlayedFleet(int Routers, double LossRate = 0.0) : m_LossRate(LossRate) {
    for (auto Number = 0; Number < Routers; ++Number) {
      addNode(Number);
    }
    for (auto &Item : m_Nodes) {
      for (const auto &Other : m_Nodes) {
        Item->m_Peers.put(recordOf(*Other), Start);
      }
    }
  }

  auto run(milliseconds Time) -> void {
    const auto End = m_Now + Time;
    while (!m_Events.empty() && m_Events.top().m_Time <= End) {
      const auto Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_Time;
      Next.m_Action();
    }
    m_Now = End;
  }

  auto node(int Number) -> Node & { return *m_Nodes[static_cast<std::size_t>(Number)]; }
  auto nodes() -> std::vector<std::unique_ptr<Node>> & { return m_Nodes; }
  auto now() const -> base::SteadyTime { return m_Now; }

  /// The relay of the data centre of node 0, as that node sees it: the one whose role is Relay.
  auto relayOfFirst() -> Node & {
    for (const auto &Item : m_Nodes) {
      if (Item->m_IsRunning && Item->m_DataCentre == node(0).m_DataCentre &&
          Item->m_Peers.role() == FleetRole::Relay) {
        return *Item;
      }
    }
    return node(0);
  }

  /// Whether the node lists the other one among the alive routers.
  auto sees(Node &Item, const Node &Other) -> bool {
    return Item.m_Peers.alivePeers(m_Now).contains(Other.m_Name);
  }

  /// Whether the node's lists of addresses take the other one for overloaded.
  auto takesForOverloaded(Node &Item, const Node &Other) -> bool {
    const auto All = Item.m_Peers.addressCandidates(false, m_Now);
    return std::any_of(All.begin(), All.end(), [&Other](const AddressCandidate &Found) {
      return Found.m_Router == Other.m_Name && Found.m_IsOverloaded;
    });
  }

  auto requestsSeenBy(Node &Item) -> std::int64_t {
    return Item.m_Peers.peerLoad("t", m_Now).m_ActiveRequests;
  }

  /// Drops all messages between this data centre and the others while set.
  std::string m_CutDataCentre;

private:
  struct Event {
    base::SteadyTime m_Time;
    std::function<void()> m_Action;
    auto operator<(const Event &Other) const -> bool { return m_Time > Other.m_Time; }
  };

  static auto recordOf(const Node &Item) -> RouterRecord {
    return {Item.m_Name, Item.m_DataCentre, Item.m_Name + ":80", Item.m_Name, 7000};
  }

  auto addNode(int Number) -> void {
    auto Options = ExchangeOptions();
    Options.m_Self = fmt::format("vm{}", Number);
    Options.m_DataCentre = std::string(1, static_cast<char>('a' + Number % 5));
    auto Peers = PeerOptions();
    Peers.m_Self = Options.m_Self;
    auto Item = std::make_unique<Node>(Options, Peers);
    Item->m_Name = Options.m_Self;
    Item->m_DataCentre = Options.m_DataCentre;
    m_ByName[Item->m_Name] = Item.get();
    m_Events.push(
        {Start + microseconds(random(300'000)), [this, Raw = Item.get()] { advance(*Raw); }});
    m_Nodes.push_back(std::move(Item));
  }

  auto random(double Limit) -> std::int64_t {
    return static_cast<std::int64_t>(
        boost::random::uniform_real_distribution<double>(0.0, Limit)(m_Random));
  }

  auto advance(Node &Item) -> void {
    if (Item.m_IsRunning) {
      auto Own = Heartbeat();
      Own.m_Router = Item.m_Name;
      Own.m_Incarnation = Item.m_Incarnation;
      Own.m_Sequence = ++Item.m_Sequence;
      Own.m_IsLeaving = Item.m_IsLeaving;
      Own.m_IsOverloaded = Item.m_IsOverloaded;
      Own.m_Loads = {{hashName("t"), 100, 1}};
      if (Item.m_StoreLostAt) {
        Own.m_StoreAgeMs = static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(m_Now - *Item.m_StoreLostAt).count());
      }
      for (const auto &Message : Item.m_Exchange.advance(Own, m_Now)) {
        send(Item, Message);
      }
    }
    m_Events.push({m_Now + Item.m_Exchange.period(), [this, &Item] { advance(Item); }});
  }

  auto send(Node &From, const OutgoingMessage &Message) -> void {
    const auto Bytes = encodeMessage(Message.m_Message);
    for (const auto &Name : Message.m_Routers) {
      ++From.m_MessagesSent;
      auto &To = *m_ByName.at(Name);
      const auto IsCut =
          From.m_DataCentre != To.m_DataCentre &&
          (From.m_DataCentre == m_CutDataCentre || To.m_DataCentre == m_CutDataCentre);
      if (IsCut || static_cast<double>(random(1e6)) < m_LossRate * 1e6) {
        continue;
      }
      m_Events.push({m_Now + microseconds(200 + random(3000)), [this, &To, Bytes] {
                       if (To.m_IsRunning) {
                         receive(To, Bytes);
                       }
                     }});
    }
  }

  auto receive(Node &To, const std::string &Bytes) -> void {
    ++To.m_MessagesReceived;
    To.m_BytesReceived += Bytes.size();
    const auto Message = decodeMessage(Bytes);
    cr_assert(Message.ok());
    const auto Result = To.m_Exchange.receive(*Message, m_Now);
    if (Result.m_Answer) {
      send(To, *Result.m_Answer);
    }
  }

  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::map<std::string, Node *> m_ByName;
  std::priority_queue<Event> m_Events;
  base::SteadyTime m_Now = Start;
  base::RandomEngine m_Random{7};
  double m_LossRate;
};

/// Messages per second that the middle router of a fleet sends and receives.
auto messagesOfMiddleRouter(int Routers) -> double {
  auto Fleet = PlayedFleet(Routers);
  Fleet.run(2s);
  auto Before = std::map<std::string, std::size_t>();
  for (const auto &Item : Fleet.nodes()) {
    Before[Item->m_Name] = Item->m_MessagesSent + Item->m_MessagesReceived;
  }
  Fleet.run(3s);
  auto Counts = std::vector<double>();
  for (const auto &Item : Fleet.nodes()) {
    Counts.push_back(static_cast<double>(Item->m_MessagesSent + Item->m_MessagesReceived -
                                         Before[Item->m_Name]) /
                     3.0);
  }
  std::sort(Counts.begin(), Counts.end());
  return Counts[Counts.size() / 2];
}

} // namespace

// Guards against control traffic that grows with the fleet: with heartbeats to all others, a router
// of 195 handled 970 datagrams a second.
Test(fleetexchange, messagesOfARouterDoNotGrowWithTheFleet) {
  const auto Small = messagesOfMiddleRouter(73);
  cr_expect_leq(Small, 10.0);
  for (const auto Routers : {195, 370, 1000}) {
    const auto Large = messagesOfMiddleRouter(Routers);
    cr_expect_leq(Large, Small * 1.2, "%d routers: %f messages/s", Routers, Large);
  }
}

Test(fleetexchange, everyRouterKnowsTheLoadOfAllOthers) {
  for (const auto Routers : {9, 18, 82, 195}) {
    auto Fleet = PlayedFleet(Routers);
    Fleet.run(3s);
    for (const auto &Item : Fleet.nodes()) {
      cr_expect_eq(Fleet.requestsSeenBy(*Item), Routers - 1, "%s of %d", Item->m_Name.c_str(),
                   Routers);
    }
  }
}

Test(fleetexchange, lostDatagramsDoNotMakeARouterSilent) {
  auto Fleet = PlayedFleet(195, 0.03);
  for (auto Round = 0; Round < 20; ++Round) {
    Fleet.run(500ms);
    for (const auto &Item : Fleet.nodes()) {
      cr_assert_eq(Fleet.node(0).m_Peers.alivePeers(Fleet.now()).size(), 194U);
      cr_assert_eq(Item->m_Peers.alivePeers(Fleet.now()).size(), 194U);
    }
  }
}

// Guards against callers that are told for long of a router that was killed.
Test(fleetexchange, killedRoutersAreKnownToBeSilentWithinThreeSeconds) {
  auto Fleet = PlayedFleet(195);
  Fleet.run(2s);
  for (const auto Number : {3, 50, 51, 150}) {
    Fleet.node(Number).m_IsRunning = false;
  }
  Fleet.run(3s);
  for (const auto &Item : Fleet.nodes()) {
    if (Item->m_IsRunning) {
      cr_expect_eq(Item->m_Peers.alivePeers(Fleet.now()).size(), 190U, "%s", Item->m_Name.c_str());
      cr_expect_eq(Fleet.requestsSeenBy(*Item), 190);
    }
  }
  Fleet.node(50).m_IsRunning = true;
  Fleet.node(50).m_Incarnation = 40;
  Fleet.node(50).m_Sequence = 0;
  Fleet.run(2s);
  cr_expect(Fleet.sees(Fleet.node(0), Fleet.node(50)), "it restarted with its clock set back");
  cr_expect(Fleet.sees(Fleet.node(51 + 5), Fleet.node(50)));
}

// Guards against a data centre whose routers know nothing of the fleet any more because the one
// that relays for them died.
Test(fleetexchange, killedRelayIsReplaced) {
  auto Fleet = PlayedFleet(195);
  Fleet.run(2s);
  auto &Relay = Fleet.relayOfFirst();
  Relay.m_IsRunning = false;
  Fleet.run(1500ms);
  auto &Next = Fleet.relayOfFirst();
  cr_assert(Next.m_Peers.role() == FleetRole::Relay);
  cr_assert_neq(Next.m_Name, Relay.m_Name);
  Fleet.run(2s);
  for (const auto &Item : Fleet.nodes()) {
    if (Item->m_IsRunning) {
      cr_expect_eq(Item->m_Peers.alivePeers(Fleet.now()).size(), 193U, "%s", Item->m_Name.c_str());
      cr_expect_eq(Fleet.requestsSeenBy(*Item), 193);
    }
  }
  Relay.m_IsRunning = true;
  Fleet.run(3s);
  cr_expect(Relay.m_Peers.role() == FleetRole::Relay, "it relays again");
  cr_expect(Next.m_Peers.role() == FleetRole::Member);
}

Test(fleetexchange, stoppingRelayIsReplacedAtOnce) {
  auto Fleet = PlayedFleet(82);
  Fleet.run(2s);
  auto &Relay = Fleet.relayOfFirst();
  Relay.m_IsLeaving = true;
  Fleet.run(1s);
  auto Relays = 0;
  for (const auto &Item : Fleet.nodes()) {
    Relays += Item->m_Peers.role() == FleetRole::Relay && Item->m_DataCentre == Relay.m_DataCentre;
    if (Item.get() != &Relay) {
      cr_expect_not(Fleet.sees(*Item, Relay), "%s", Item->m_Name.c_str());
    }
  }
  cr_expect_eq(Relays, 1, "its successor");
  cr_expect(Relay.m_Peers.role() == FleetRole::Member);
}

// Guards against a data centre that stays out of the others' view after a network partition.
Test(fleetexchange, dataCentreIsBackSoonAfterAPartition) {
  auto Fleet = PlayedFleet(195);
  Fleet.run(2s);
  Fleet.m_CutDataCentre = "b";
  Fleet.run(3s);
  cr_expect_eq(Fleet.node(0).m_Peers.alivePeers(Fleet.now()).size(), 155U, "4 x 39 routers");
  cr_expect_eq(Fleet.node(1).m_Peers.alivePeers(Fleet.now()).size(), 38U, "its own data centre");
  Fleet.run(10s);
  Fleet.m_CutDataCentre.clear();
  Fleet.run(2500ms);
  for (const auto &Item : Fleet.nodes()) {
    cr_expect_eq(Item->m_Peers.alivePeers(Fleet.now()).size(), 194U, "%s", Item->m_Name.c_str());
  }
}

Test(relaytracker, nextCandidateIsTriedWhenAnAnswerIsMissing) {
  auto Tracker = RelayTracker("d", RelayOptions());
  Tracker.setCandidates({"a", "b", "c", "d", "e"});
  using Names = std::vector<std::string>;
  cr_assert(Tracker.nextDestinations(Start) == Names{"a"});
  Tracker.onAnswer("a", false);
  cr_assert(Tracker.nextDestinations(Start + 300ms) == Names{"a"});
  cr_assert(Tracker.nextDestinations(Start + 600ms) == (Names{"a", "b"}));
  Tracker.onAnswer("b", false);
  cr_assert(Tracker.nextDestinations(Start + 900ms) == (Names{"a", "b"}));
  Tracker.onAnswer("b", false);
  cr_assert(Tracker.nextDestinations(Start + 1200ms) == (Names{"a", "b"}), "a is probed");
  Tracker.onAnswer("b", false);
  cr_assert(Tracker.nextDestinations(Start + 1500ms) == Names{"b"}, "a is probed once a second");
  cr_assert_not(Tracker.isSelfRelay());
  Tracker.onAnswer("a", true);
  Tracker.onAnswer("b", true);
  Tracker.onAnswer("c", true);
  Tracker.nextDestinations(Start + 5s);
  cr_assert(Tracker.isSelfRelay(), "all that come before it are leaving");
  Tracker.onAnswer("b", false);
  cr_assert(Tracker.nextDestinations(Start + 5100ms) == Names{"b"});
}

// Guards against a relay that keeps its role while it alone is cut off from the store: its readers
// would act on old records or all go to the store.
Test(fleetexchange, relayThatLosesTheStoreResigns) {
  auto Fleet = PlayedFleet(60, 0.02);
  Fleet.run(5s);
  auto &Relay = Fleet.relayOfFirst();
  Relay.m_StoreLostAt = Fleet.now();
  Fleet.run(3s);
  auto &Next = Fleet.relayOfFirst();
  cr_assert_neq(Next.m_Name, Relay.m_Name);
  cr_assert(Relay.m_Peers.role() == FleetRole::Member);
  for (const auto &Item : Fleet.nodes()) {
    cr_assert_eq(Fleet.requestsSeenBy(*Item), 59, "%s sees the whole fleet", Item->m_Name.c_str());
  }
  Relay.m_StoreLostAt.reset();
  Fleet.run(4s);
  cr_assert_eq(Fleet.relayOfFirst().m_Name, Relay.m_Name);
}

// Guards against a fleet without relays: in an outage of the store each router has lost it, and
// notices so at another time.
Test(fleetexchange, nobodyResignsWhileTheStoreIsAway) {
  auto Fleet = PlayedFleet(60);
  Fleet.run(5s);
  auto Relays = std::set<std::string>();
  for (const auto &Item : Fleet.nodes()) {
    if (Item->m_Peers.role() == FleetRole::Relay) {
      Relays.insert(Item->m_Name);
    }
  }
  cr_assert_eq(Relays.size(), 5U);
  auto Number = 0;
  for (const auto &Item : Fleet.nodes()) {
    Item->m_StoreLostAt = Fleet.now() - milliseconds((++Number * 37) % 900);
  }
  for (auto Step = 0; Step < 30; ++Step) {
    Fleet.run(300ms);
    for (const auto &Item : Fleet.nodes()) {
      cr_assert_eq(Item->m_Peers.role() == FleetRole::Relay, Relays.contains(Item->m_Name));
    }
  }
}

// Guards against callers that are sent to a VM whose link is full, and against a VM that stays
// unlisted on the word of a relay that is gone.
Test(fleetexchange, overloadIsKnownToAllAndForgottenWithTheRelays) {
  for (const auto Routers : {9, 82}) {
    auto Fleet = PlayedFleet(Routers);
    Fleet.run(2s);
    auto &Full = Fleet.node(7);
    Full.m_IsOverloaded = true;
    Fleet.run(2s);
    for (const auto &Item : Fleet.nodes()) {
      cr_expect_eq(Fleet.takesForOverloaded(*Item, Full), Item.get() != &Full, "%s of %d",
                   Item->m_Name.c_str(), Routers);
    }
    Full.m_IsOverloaded = false;
    Fleet.run(2s);
    for (const auto &Item : Fleet.nodes()) {
      cr_expect_not(Fleet.takesForOverloaded(*Item, Full), "%s", Item->m_Name.c_str());
    }
    Full.m_IsOverloaded = true;
    Fleet.run(2s);
    for (const auto &Item : Fleet.nodes()) {
      Item->m_IsRunning = Item.get() == &Fleet.node(0);
    }
    Fleet.run(3s);
    cr_expect_not(Fleet.takesForOverloaded(Fleet.node(0), Full), "%d routers", Routers);
  }
}
