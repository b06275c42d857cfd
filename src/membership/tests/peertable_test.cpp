#include "peertable.h"

#include "heartbeatcodec.h"

#include "base/manualclock.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <functional>
#include <memory>

using namespace geraniumlift;
using namespace geraniumlift::membership;

namespace {

/// Payload of a datagram of 1,200 bytes after its authentication code of 32 bytes.
constexpr std::size_t PayloadBytes = 1168;
constexpr auto Round = std::chrono::milliseconds{500};

auto makeEntry(int Number, std::uint64_t Incarnation = 1) -> PeerEntry {
  return {.m_Vm = fmt::format("swansea-a-entry-{:03}", Number),
          .m_Incarnation = Incarnation,
          .m_DataCentre = Number % 2 == 0 ? "swansea-a" : "cardiff-b",
          .m_CallerUrl = fmt::format("http://10.20.1.{}:8080", Number),
          .m_PeerAddress = fmt::format("10.20.1.{}:7000", Number),
          .m_Budgets = {}};
}

/// Routers that exchange heartbeats without a network. The first router is the seed of all.
class Fleet {
public:
  explicit Fleet(int Size) {
    for (auto Number = 0; Number < Size; ++Number) {
      start(Number, 1);
    }
  }

  auto start(int Number, std::uint64_t Incarnation) -> void {
    m_Tables[Number] = std::make_unique<PeerTable>(
        makeEntry(Number, Incarnation), std::vector{makeEntry(0).m_PeerAddress}, Number + 7);
    m_Numbers[makeEntry(Number).m_PeerAddress] = Number;
  }

  auto table(int Number) -> PeerTable & { return *m_Tables.at(Number); }
  auto now() const -> base::SteadyTime { return m_Clock.steadyNow(); }

  /// Runs rounds. The function decides by the numbers of sender and receiver whether a heartbeat is
  /// delivered; a router for which it returns false with itself as receiver is paused.
  auto run(int Rounds, const std::function<bool(int, int)> &IsDelivered) -> void {
    for (auto Done = 0; Done < Rounds; ++Done) {
      m_Clock.advance(Round);
      for (auto &[From, Table] : m_Tables) {
        if (IsDelivered(From, From)) {
          send(From, *Table, IsDelivered);
        }
      }
    }
  }

  auto run(int Rounds) -> void {
    run(Rounds, [](int, int) { return true; });
  }

  auto countLivePeers(int Number) -> std::size_t {
    const auto Peers = table(Number).peers(now());
    return static_cast<std::size_t>(std::ranges::count(Peers, false, &PeerView::m_Suspected));
  }

  std::size_t m_LargestHeartbeat = 0;

private:
  auto send(int From, PeerTable &Table, const std::function<bool(int, int)> &IsDelivered) -> void {
    for (const auto &Address : Table.beginRound(now())) {
      const auto Encoded = encodeHeartbeat(Table.buildHeartbeat(PayloadBytes, now()));
      m_LargestHeartbeat = std::max(m_LargestHeartbeat, Encoded.size());
      const auto To = m_Numbers.at(Address);
      if (IsDelivered(From, To)) {
        m_Tables.at(To)->merge(*decodeHeartbeat(Encoded), now());
      }
    }
  }

  base::ManualClock m_Clock;
  std::map<int, std::unique_ptr<PeerTable>> m_Tables;
  std::map<std::string, int> m_Numbers;
};

} // namespace

// Guards against routers that learn only the seed, and against entry lists that begin with the same
// router in every call.
Test(peertable, everyRouterLearnsAllOthersNearestFirst) {
  auto Routers = Fleet(9);
  Routers.run(10);
  for (auto Number = 0; Number < 9; ++Number) {
    cr_assert_eq(Routers.countLivePeers(Number), 8U);
  }
  const auto First = Routers.table(3).entryList("cardiff-b", 0, Routers.now());
  const auto Second = Routers.table(3).entryList("cardiff-b", 1, Routers.now());
  cr_assert_eq(First.size(), 9U);
  cr_assert_eq(First[3].m_DataCentre, std::string("cardiff-b"));
  cr_assert_eq(First[4].m_DataCentre, std::string("swansea-a"));
  cr_assert_neq(First[0].m_Url, Second[0].m_Url);
}

// Guards against two parts of a fleet that stay separated after a partition, because each has
// forgotten the routers of the other.
Test(peertable, partitionHealsAfterBothSidesHaveForgotten) {
  auto Routers = Fleet(12);
  Routers.run(10);
  const auto IsSameSide = [](int From, int To) { return (From < 6) == (To < 6); };
  Routers.run(12, IsSameSide);
  cr_assert_eq(Routers.countLivePeers(0), 5U);
  Routers.run(200, IsSameSide);
  cr_assert_eq(Routers.table(0).peers(Routers.now()).size(), 5U);
  Routers.run(40);
  for (auto Number = 0; Number < 12; ++Number) {
    cr_assert_eq(Routers.countLivePeers(Number), 11U);
  }
}

// Guards against the old incarnation of a restarted router replacing the new one, whose counter
// starts again at 0.
Test(peertable, higherIncarnationReplacesLower) {
  auto Routers = Fleet(5);
  Routers.run(30);
  Routers.start(2, 2);
  Routers.run(6);
  const auto Peers = Routers.table(4).peers(Routers.now());
  cr_assert_eq(Peers[2].m_Entry.m_Incarnation, 2U);
  auto Old = makeEntry(2, 1);
  Old.m_Counter = 1000;
  Routers.table(4).merge({{Old}, {}}, Routers.now());
  cr_assert_eq(Routers.table(4).peers(Routers.now())[2].m_Entry.m_Incarnation, 2U);
}

// Guards against a paused router in the entry list, and against a resumed one that stays suspected.
Test(peertable, pausedPeerIsSuspectedAndReturns) {
  auto Routers = Fleet(6);
  Routers.run(10);
  Routers.run(12, [](int From, int To) { return From != 4 && To != 4; });
  cr_assert_eq(Routers.countLivePeers(0), 4U);
  cr_assert_eq(Routers.table(0).entryList("swansea-a", 0, Routers.now()).size(), 5U);
  Routers.run(200, [](int From, int To) { return From != 4 && To != 4; });
  cr_assert_eq(Routers.table(0).peers(Routers.now()).size(), 4U);
  Routers.run(30);
  cr_assert_eq(Routers.countLivePeers(0), 5U);
  cr_assert_eq(Routers.countLivePeers(4), 5U);
}

// Guards against a replayed heartbeat that makes a dead router live again, also after it was
// forgotten.
Test(peertable, replayedHeartbeatDoesNotReviveADeadPeer) {
  auto Routers = Fleet(3);
  Routers.run(6);
  const auto Recorded = Routers.table(2).buildHeartbeat(PayloadBytes, Routers.now());
  const auto WithoutTwo = [](int From, int To) { return From != 2 && To != 2; };
  Routers.run(12, WithoutTwo);
  Routers.table(0).merge(Recorded, Routers.now());
  cr_assert_eq(Routers.countLivePeers(0), 1U);
  Routers.run(150, WithoutTwo);
  Routers.table(0).merge(Recorded, Routers.now());
  cr_assert_eq(Routers.table(0).peers(Routers.now()).size(), 1U);
}

// Guards against draining routers in the entry list, and against a new generation that is not
// reported or is reported more than once.
Test(peertable, stateAndGenerationSpread) {
  auto Routers = Fleet(4);
  Routers.run(8);
  Routers.table(1).setState(PeerState::Draining);
  Routers.table(1).setGeneration(9);
  Routers.table(1).setBudgets({{"office", 500}, {std::string(300, 'x'), 1}});
  Routers.run(6);
  cr_assert_eq(Routers.table(0).entryList("swansea-a", 0, Routers.now()).size(), 3U);
  const auto View = Routers.table(0).peers(Routers.now())[0].m_Entry;
  cr_assert_eq(View.m_Generation, 9U);
  cr_assert(View.m_Budgets == std::vector<AdvertisedBudget>({{"office", 500}}));
  auto Ahead = View;
  Ahead.m_Generation = 10;
  Ahead.m_Counter += 100;
  Ahead.m_Version = Ahead.m_Counter;
  cr_assert_eq(Routers.table(0).merge({{Ahead}, {}}, Routers.now()).size(), 1U);
  cr_assert_eq(Routers.table(0).merge({{Ahead}, {}}, Routers.now()).size(), 0U);
}

// Guards against payloads that exceed the datagram, and against counters that spread more slowly
// than the suspicion time, so that live routers are suspected. All 370 routers start at once and
// know one seed.
Test(peertable, largeFleetStaysWithinTheDatagramAndUnsuspected) {
  constexpr auto Size = 370;
  constexpr auto Checks = 5;
  constexpr auto Pairs = std::size_t{Checks} * Size * (Size - 1);
  auto Routers = Fleet(Size);
  Routers.run(200);
  auto Known = std::size_t{0};
  auto Live = std::size_t{0};
  for (auto Check = 0; Check < Checks; ++Check) {
    Routers.run(2);
    for (auto Number = 0; Number < Size; ++Number) {
      Known += Routers.table(Number).peers(Routers.now()).size();
      Live += Routers.countLivePeers(Number);
    }
  }
  fmt::print("peers={} largest_payload_bytes={} pairs={} unknown={} suspected={}\n", Size,
             Routers.m_LargestHeartbeat, Pairs, Pairs - Known, Known - Live);
  cr_assert(Routers.m_LargestHeartbeat <= PayloadBytes);
  cr_assert((Known - Live) * 1000 <= Pairs);
  cr_assert((Pairs - Known) * 20 <= Pairs);
}
