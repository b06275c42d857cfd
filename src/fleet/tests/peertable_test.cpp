#include "fleet/peertable.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace geraniumlift;
using namespace geraniumlift::fleet;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::SteadyTime(1h);

auto record(int Number) -> RouterRecord {
  return {fmt::format("vm{}", Number), "a", fmt::format("10.0.0.{}:80", Number),
          fmt::format("10.0.0.{}", Number), 7000};
}

auto heartbeat(int Number, std::uint32_t Sequence, bool IsLeaving = false) -> Heartbeat {
  return {fmt::format("vm{}", Number),
          100,
          Sequence,
          IsLeaving,
          {{hashName("t"), 500, 2}},
          {{hashName("b"), static_cast<std::uint32_t>(1000 * Number)}}};
}

/// The addresses that vm0 would tell a caller.
auto callerAddresses(const PeerTable &Peers, bool IsSelfLeaving, base::SteadyTime Now)
    -> std::vector<std::string> {
  auto Selector = AddressSelector("vm0");
  auto Candidates = Peers.addressCandidates(IsSelfLeaving, Now);
  Selector.removeSilent(Candidates, true, Now);
  return Selector.choose(std::move(Candidates));
}

/// The table of vm0 in a fleet of nine routers; all others have sent a heartbeat at Start.
auto table() -> PeerTable {
  auto Options = PeerOptions();
  Options.m_Self = "vm0";
  auto Peers = PeerTable(Options);
  for (auto Number = 0; Number < 9; ++Number) {
    Peers.put(record(Number), Start);
    if (Number > 0) {
      Peers.recordHeartbeat(heartbeat(Number, 1), Start);
    }
  }
  return Peers;
}

} // namespace

Test(peertable, silentAndLeavingRoutersAreNotListed) {
  auto Peers = table();
  const auto Later = Start + 2s;
  for (auto Number = 2; Number < 9; ++Number) {
    Peers.recordHeartbeat(heartbeat(Number, 2, Number == 2), Later);
  }
  const auto Addresses = callerAddresses(Peers, false, Later);
  cr_assert_eq(Addresses.size(), 7U, "vm1 is silent and vm2 is leaving");
  cr_assert_eq(callerAddresses(Peers, true, Later).size(), 6U,
               "a leaving router does not list itself");
}

// Guards against a router that has lost its network connection to the others and withholds their
// addresses from callers, who can still reach them.
Test(peertable, isolatedRouterListsAllAddresses) {
  auto Peers = table();
  cr_assert_eq(callerAddresses(Peers, false, Start + 8s).size(), 9U);
}

Test(peertable, loadsOfSilentRoutersDoNotCount) {
  auto Peers = table();
  cr_assert_eq(Peers.peerLoad("t", Start).m_ActiveRequests, 16);
  cr_assert_eq(Peers.peerLoad("t", Start).m_PendingPromptTokens, 4000);
  cr_assert_eq(Peers.peerLoad("t", Start + 5s).m_ActiveRequests, 0);
}

Test(peertable, offersOfAlivePeersAreSortedBySize) {
  auto Peers = table();
  const auto Later = Start + 2s;
  Peers.recordHeartbeat(heartbeat(1, 2), Later);
  Peers.recordHeartbeat(heartbeat(2, 2), Later);
  Peers.recordHeartbeat(heartbeat(3, 2, true), Later);
  const auto Offers = Peers.budgetOffers("b", Later);
  cr_assert_eq(Offers.size(), 2U, "the others are silent or leaving");
  cr_expect_eq(Offers[0].m_Router, "vm2");
  cr_expect_eq(Offers[0].m_Available, 2000);
  cr_expect(Peers.budgetOffers("c", Later).empty());
  cr_expect_eq(Peers.alivePeers(Later), (std::set<std::string>{"vm1", "vm2"}));
}

// Guards against a log line for every heartbeat of a leaving router; only changes are logged.
Test(peertable, onlyStateChangesAreReported) {
  auto Peers = table();
  cr_expect_not(Peers.recordHeartbeat(heartbeat(1, 2), Start + 200ms));
  cr_expect(Peers.recordHeartbeat(heartbeat(1, 3, true), Start + 400ms));
  cr_expect_not(Peers.recordHeartbeat(heartbeat(1, 4, true), Start + 600ms));
  cr_expect(Peers.recordHeartbeat(heartbeat(1, 5, true), Start + 9s), "it was silent before");
}

Test(peertable, oldHeartbeatsAreIgnored) {
  auto Peers = table();
  Peers.recordHeartbeat(heartbeat(3, 9), Start + 100ms);
  Peers.recordHeartbeat(heartbeat(3, 8, true), Start + 200ms);
  cr_assert_eq(callerAddresses(Peers, false, Start + 200ms).size(), 9U);
}

// Guards against ignoring a restarted router for good: if its clock was set back across the
// restart, the new process has a lower incarnation.
Test(peertable, restartedRouterComesBackAfterAClockStep) {
  auto Peers = table();
  auto Restarted = heartbeat(3, 1);
  Restarted.m_Incarnation = 50;
  cr_assert(Peers.recordHeartbeat(Restarted, Start + 3s));
  cr_assert_eq(Peers.peerLoad("t", Start + 3s).m_ActiveRequests, 2);
}

// Guards against records of an earlier version, which lack the number of cores, being ignored.
Test(fleetcodec, recordOfAnEarlierVersionIsRead) {
  const auto Record =
      decodeRouter(R"({"router":{"name":"vm3","data_centre":"a","caller_address":"10.0.0.3:80",)"
                   R"("peer_address":"10.0.0.3","peer_port":7000}})");
  cr_assert(Record.ok());
  cr_assert(*Record == record(3));
  const auto WithCores =
      decodeRouter(R"({"router":{"name":"vm3","data_centre":"a","caller_address":"10.0.0.3:80",)"
                   R"("peer_address":"10.0.0.3","peer_port":7000,"cores":0.25}})");
  cr_assert(WithCores.ok());
  cr_expect_float_eq(WithCores->m_Cores, 0.25, 1e-9);
  cr_expect_float_eq(WithCores->m_LinkMbps, 0.0, 1e-9);
}

Test(fleetcodec, messagesRoundTripAndMalformedInputIsRejected) {
  auto Digest = FleetDigest();
  Digest.m_Relay = "vm1";
  Digest.m_Sequence = 9;
  Digest.m_Silent = {1, 2};
  Digest.m_Leaving = {3};
  Digest.m_Loads = {{4, 5, 6}};
  Digest.m_Overloaded = {7};
  for (const auto &Original :
       {FleetMessage(heartbeat(4, 7, true)),
        FleetMessage(HeartbeatBatch{"vm2", true, {{heartbeat(4, 7), 250}, {heartbeat(5, 8), 0}}}),
        FleetMessage(Digest)}) {
    const auto Whole = encodeMessage(Original);
    const auto Message = decodeMessage(Whole);
    cr_assert(Message.ok());
    cr_assert_eq(Message->index(), Original.index());
    cr_assert_eq(encodeMessage(*Message), Whole, "nothing is lost");
    for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
      cr_expect_not(decodeMessage(std::string_view(Whole).substr(0, Size)).ok());
    }
    cr_expect_not(decodeMessage(Whole.substr(0, 1) + std::string(200, '\xff')).ok());
  }
  const auto Message = decodeMessage(encodeMessage(heartbeat(4, 7, true)));
  const auto &Heard = std::get<Heartbeat>(*Message);
  cr_assert_eq(Heard.m_Router, "vm4");
  cr_assert_eq(Heard.m_Loads.size(), 1U);
  cr_assert_eq(Heard.m_Loads[0].m_PendingPromptTokens, 500U);
  cr_assert(*decodeRouter(encodeRouter(record(3))) == record(3));
  cr_expect_not(decodeMessage("").ok());
  cr_expect_not(decodeMessage("X").ok());
  cr_expect_not(decodeRouter("{}").ok());
  cr_expect_not(decodeRouter("nonsense").ok());
  cr_expect_not(decodeRouter(R"({"router":)" + std::string(300000, '[')).ok(),
                "it must not overflow the stack");
}
