#include "transport/memoryaccount.h"

#include "fakes/manualtimers.h"

#include <criterion/criterion.h>
#include <list>
#include <rapidcheck.h>
#include <vector>

using namespace geraniumlift;
using namespace geraniumlift::transport;
using namespace std::chrono_literals;

namespace {

constexpr auto Limit = std::size_t{100000};
constexpr auto ReadBytes = std::size_t{8192};

/// A connection that releases everything when it is evicted.
struct Holder final : IMemoryHolder {
  Holder(MemoryAccount &Account, std::uint32_t Address)
      : m_Account(Account), m_Place(Account.enter(*this, Address)) {}
  ~Holder() override { m_Account.leave(m_Place); }
  Holder(const Holder &) = delete;
  auto operator=(const Holder &) -> Holder & = delete;

  auto evict(EvictionReason) -> void override {
    ++m_Evictions;
    m_Held = 0;
    m_Account.setHeld(m_Place, 0, Evictability::Never);
  }
  auto onRoom() -> void override {
    ++m_Wakes;
    read();
  }
  auto read() -> bool {
    const auto IsGranted = m_Account.mayRead(m_Place, ReadBytes);
    if (IsGranted) {
      hold(m_Held + ReadBytes);
    }
    return IsGranted;
  }
  auto hold(std::size_t Bytes, Evictability When = Evictability::Always) -> void {
    m_Held = Bytes;
    m_Account.setHeld(m_Place, Bytes, When);
  }

  MemoryAccount &m_Account;
  MemoryAccount::Place m_Place;
  std::size_t m_Held = 0;
  int m_Evictions = 0;
  int m_Wakes = 0;
};

struct Fixture {
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  MemoryAccount m_Account{m_Timers, m_Clock, {Limit, 10000, 2000ms, 8000, 250ms}};
};

} // namespace

/// Guards against an idle account that refuses or evicts.
Test(memoryaccount, grantsUpToTheLimit) {
  auto F = Fixture();
  auto One = Holder(F.m_Account, 1);
  One.hold(Limit - ReadBytes);
  cr_expect(One.read());
  cr_expect_eq(F.m_Account.heldBytes(), Limit);
  cr_expect_not(One.read());
  cr_expect_eq(F.m_Account.waiting(), 1U);
}

/// Guards against taking room from a body that moves instead of one that has stopped.
Test(memoryaccount, stalledBodyGivesWayToAMovingOne) {
  auto F = Fixture();
  auto Stalled = Holder(F.m_Account, 1);
  auto Moving = Holder(F.m_Account, 1);
  Stalled.hold(40000);
  Moving.hold(59000);
  F.m_Clock.advance(2500ms);
  F.m_Account.touch(Moving.m_Place);
  cr_expect(Moving.read());
  cr_expect_eq(Stalled.m_Evictions, 1);
  cr_expect_eq(Moving.m_Evictions, 0);
}

/// Guards against small ordinary requests that wait behind large bodies.
Test(memoryaccount, smallRequestTakesRoomFromTheLargest) {
  auto F = Fixture();
  auto Large = Holder(F.m_Account, 1);
  auto Middle = Holder(F.m_Account, 1);
  auto Small = Holder(F.m_Account, 1);
  Large.hold(60000);
  Middle.hold(40000);
  cr_expect(Small.read());
  cr_expect_eq(Large.m_Evictions, 1);
  cr_expect_eq(Middle.m_Evictions, 0);
}

/// Guards against evicting a request that is being served, or an answer that still moves.
Test(memoryaccount, servedRequestsStay) {
  auto F = Fixture();
  auto Served = Holder(F.m_Account, 1);
  auto Answered = Holder(F.m_Account, 1);
  auto Small = Holder(F.m_Account, 1);
  Served.hold(50000, Evictability::Never);
  Answered.hold(50000, Evictability::WhenStalled);
  cr_expect_not(Small.read());
  F.m_Clock.advance(2500ms);
  cr_expect(Small.read());
  cr_expect_eq(Served.m_Evictions, 0);
  cr_expect_eq(Answered.m_Evictions, 1);
}

/// Guards against bodies that all wait for each other.
Test(memoryaccount, waitingConnectionsDoNotBlockEachOther) {
  auto F = Fixture();
  auto First = Holder(F.m_Account, 1);
  auto Second = Holder(F.m_Account, 1);
  First.hold(50000);
  Second.hold(50000);
  cr_expect_not(First.read());
  cr_expect_not(Second.read());
  F.m_Timers.runFor(300ms);
  cr_expect_eq(Second.m_Evictions, 1);
  cr_expect_eq(First.m_Evictions, 0);
  cr_expect_eq(First.m_Wakes, 1);
}

/// Guards against bytes of waiting connections that fill the kernel's memory.
Test(memoryaccount, fewConnectionsWait) {
  auto F = Fixture();
  auto Crowd = std::list<Holder>();
  for (auto At = 0; At < 8; ++At) {
    Crowd.emplace_back(F.m_Account, 1).hold(Limit / 8);
  }
  for (auto &Item : Crowd) {
    Item.read();
    cr_expect_leq(F.m_Account.waiting(), 4U);
  }
}

/// Guards against callers of one address that crowd out those of others.
Test(memoryaccount, addressThatHoldsMostGoesFirst) {
  auto F = Fixture();
  auto Lone = Holder(F.m_Account, 2);
  auto One = Holder(F.m_Account, 1);
  auto Two = Holder(F.m_Account, 1);
  auto Small = Holder(F.m_Account, 3);
  Lone.hold(34000);
  One.hold(33000);
  Two.hold(33000);
  cr_expect(Small.read());
  cr_expect_eq(Lone.m_Evictions, 0);
  cr_expect_eq(One.m_Evictions + Two.m_Evictions, 1);
}

/// Guards against a limit that a single request inside the callers' limits meets.
Test(memoryaccount, largestRequestFits) {
  auto F = Fixture();
  F.m_Account.setLargestRequest(3 * Limit);
  auto One = Holder(F.m_Account, 1);
  One.hold(3 * Limit - ReadBytes);
  cr_expect(One.read());
}

/// Guards against new connections that push out callers with requests before silent ones.
Test(memoryaccount, silentConnectionsMakePlaceFirst) {
  auto F = Fixture();
  auto Served = Holder(F.m_Account, 1);
  auto Silent = Holder(F.m_Account, 1);
  F.m_Account.setServed(Served.m_Place);
  F.m_Clock.advance(1500ms);
  cr_expect(F.m_Account.evictOldest());
  cr_expect_eq(Silent.m_Evictions, 1);
  cr_expect_eq(Served.m_Evictions, 0);
  cr_expect(F.m_Account.evictOldest());
  cr_expect_not(F.m_Account.evictOldest());
}

/// Guards against a sum that drifts from what the connections hold, and against waiting for ever.
Test(memoryaccount, anyCrowdStaysWithinTheLimit) {
  const auto IsKept = rc::check([](const std::vector<std::uint8_t> &Steps) {
    auto F = Fixture();
    auto Crowd = std::list<Holder>();
    for (auto At = 0U; At < 20; ++At) {
      Crowd.emplace_back(F.m_Account, At % 3);
    }
    for (const auto Step : Steps) {
      auto &Member = *std::next(Crowd.begin(), Step % 20);
      F.m_Timers.runFor(std::chrono::milliseconds(Step));
      F.m_Account.touch(Member.m_Place);
      Member.read();
      auto Sum = std::size_t{0};
      for (const auto &Item : Crowd) {
        Sum += Item.m_Held;
      }
      RC_ASSERT(F.m_Account.heldBytes() == Sum);
      RC_ASSERT(Sum <= Limit);
    }
    F.m_Timers.runFor(60s);
    RC_ASSERT(F.m_Account.waiting() == 0U);
  });
  cr_expect(IsKept);
}
