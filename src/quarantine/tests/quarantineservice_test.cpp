#include "fakes/manualtimers.h"
#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"
#include "quarantine/quarantineservice.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::quarantine;
using namespace std::chrono_literals;

namespace {

/// Tells that the targets listen unless they are in m_Gone; answers after a millisecond.
class FakeListenerCheck final : public IListenerCheck {
public:
  explicit FakeListenerCheck(fakes::ManualTimers &Timers, const base::IClock &Clock)
      : m_Timers(Timers), m_Clock(Clock) {}

  auto checkListener(const std::string &Ip, std::uint16_t, std::function<void(bool)> Done)
      -> void override {
    ++m_Checks;
    m_Timers.start(m_Clock.steadyNow() + 1ms,
                   [this, Ip, Done = std::move(Done)] { Done(!m_Gone.contains(Ip)); });
  }

  std::set<std::string> m_Gone;
  int m_Checks = 0;

private:
  fakes::ManualTimers &m_Timers;
  const base::IClock &m_Clock;
};

/// Routers that get each other's updates at once.
class Routers {
public:
  struct Node {
    fakes::MemoryEventLog m_Log;
    std::unique_ptr<QuarantineService> m_Service;
    bool m_IsCut = false;
  };

  explicit Routers(std::size_t Count) {
    for (std::size_t Number = 0; Number < Count; ++Number) {
      m_Nodes.push_back(std::make_unique<Node>());
      restart(Number);
    }
  }

  auto restart(std::size_t Number) -> void {
    auto &Item = *m_Nodes[Number];
    auto Options = ServiceOptions();
    Options.m_Router = "vm" + std::to_string(Number);
    Options.m_Seed = Number;
    Item.m_Service = std::make_unique<QuarantineService>(Options, m_Store, m_Listeners, m_Timers,
                                                         m_Clock, Item.m_Log);
    Item.m_Service->setPublisher(
        [this, &Item](const QuarantineUpdate &Update) { deliver(Item, Update); });
  }

  auto service(std::size_t Number) -> QuarantineService & { return *m_Nodes[Number]->m_Service; }

  /// A request with these parts ends because its target has crashed.
  auto crash(std::size_t Number, const std::string &Target, const std::vector<PartHash> &Parts)
      -> void {
    m_Listeners.m_Gone.insert(Target);
    service(Number).onConnectionLost({Target, 1, Target, 80}, Workspace, Parts);
    run(100ms);
  }

  auto run(std::chrono::milliseconds Time) -> void {
    for (auto Passed = 0ms; Passed < Time; Passed += 100ms) {
      for (const auto &Item : m_Nodes) {
        if (!Item->m_Service) {
          continue;
        }
        Item->m_Service->advance(true);
        if (const auto Report = Item->m_Service->takeReport()) {
          deliver(*Item, *Report);
        }
      }
      m_Timers.runFor(100ms);
    }
  }

  auto isBlocked(std::size_t Number, const std::vector<PartHash> &Parts) -> bool {
    return service(Number).findBlock(Workspace, Parts).has_value();
  }

  static constexpr auto Workspace = WorkspaceHash{7};
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  FakeListenerCheck m_Listeners{m_Timers, m_Clock};
  std::vector<std::unique_ptr<Node>> m_Nodes;

private:
  auto deliver(const Node &From, const QuarantineUpdate &Update) -> void {
    const auto Decoded = decodeUpdate(encodeUpdate(Update));
    cr_assert(Decoded.ok());
    for (const auto &Item : m_Nodes) {
      if (Item.get() != &From && Item->m_Service && !Item->m_IsCut && !From.m_IsCut) {
        Item->m_Service->onUpdate(*Decoded);
      }
    }
  }
};

const auto Deadly = std::vector<PartHash>{1, 2};
const auto Sound = std::vector<PartHash>{1, 3};

} // namespace

// Guards against a fleet in which each router sees one crash and none sees a pattern.
Test(quarantineservice, crashesThatDifferentRoutersSeeAreAddedUp) {
  auto Play = Routers(4);
  Play.service(0).onResponseBegun(Sound);
  Play.crash(1, "t1", Deadly);
  Play.crash(2, "t2", Deadly);
  cr_expect_not(Play.isBlocked(0, Deadly));
  Play.crash(3, "t3", Deadly);
  for (std::size_t Number = 0; Number < 4; ++Number) {
    cr_expect(Play.isBlocked(Number, Deadly));
    cr_expect_not(Play.isBlocked(Number, Sound));
  }
  const auto Block = Play.service(0).findBlock(Routers::Workspace, Deadly);
  cr_expect_eq(Block->m_PartIndex, 1U);
  cr_expect_gt(Block->m_Left.count(), 0);
}

Test(quarantineservice, lostConnectionToATargetThatStillListensIsNoCrash) {
  auto Play = Routers(1);
  for (const auto *Target : {"t1", "t2", "t3", "t4", "t5", "t6"}) {
    Play.service(0).onConnectionLost({Target, 1, Target, 80}, Routers::Workspace, Deadly);
    Play.run(100ms);
  }
  cr_expect_not(Play.isBlocked(0, Deadly));
  cr_expect_eq(Play.m_Listeners.m_Checks, 6);
}

Test(quarantineservice, answerAtAnyRouterClearsAPart) {
  auto Play = Routers(3);
  for (const auto *Target : {"t1", "t2", "t3"}) {
    Play.crash(0, Target, Deadly);
  }
  cr_expect(Play.isBlocked(1, Deadly));
  Play.service(2).onResponseBegun(Deadly);
  cr_expect_not(Play.isBlocked(0, Deadly));
  cr_expect_not(Play.isBlocked(1, Deadly));
  Play.run(5s);
  cr_expect_not(Play.isBlocked(1, Deadly));
}

Test(quarantineservice, routerThatMissedEverythingLearnsItFromTheNextReport) {
  auto Play = Routers(3);
  Play.m_Nodes[2]->m_IsCut = true;
  for (const auto *Target : {"t1", "t2", "t3"}) {
    Play.crash(0, Target, Deadly);
  }
  cr_expect_not(Play.isBlocked(2, Deadly));
  Play.m_Nodes[2]->m_IsCut = false;
  Play.run(1100ms);
  cr_expect(Play.isBlocked(2, Deadly));
}

Test(quarantineservice, quarantineOutlastsAllProcesses) {
  auto Play = Routers(3);
  for (const auto *Target : {"t1", "t2", "t3"}) {
    Play.crash(0, Target, Deadly);
  }
  Play.run(5s);
  cr_assert_eq(Play.m_Store.m_Keys.size(), 1U);
  cr_expect_leq(Play.m_Store.m_Writes, 3);
  for (std::size_t Number = 0; Number < 3; ++Number) {
    Play.restart(Number);
  }
  cr_expect_not(Play.isBlocked(0, Deadly));
  Play.service(0).onRecordChanged(Play.m_Store.m_Keys.begin()->second);
  cr_expect(Play.isBlocked(0, Deadly));
  Play.run(1100ms);
  cr_expect(Play.isBlocked(1, Deadly), "told by the router that read the record");
}

Test(quarantineservice, recordIsWrittenOnceTheStoreIsBack) {
  auto Play = Routers(1);
  Play.m_Store.m_IsAway = true;
  for (const auto *Target : {"t1", "t2", "t3"}) {
    Play.crash(0, Target, Deadly);
  }
  Play.run(6s);
  cr_expect(Play.m_Store.m_Keys.empty());
  Play.m_Store.m_IsAway = false;
  Play.run(3s);
  cr_expect_eq(Play.m_Store.m_Keys.size(), 1U);
}

Test(quarantineservice, afterTheTermOneCrashIsEnoughForALongerOne) {
  auto Play = Routers(2);
  for (const auto *Target : {"t1", "t2", "t3"}) {
    Play.crash(0, Target, Deadly);
  }
  Play.run(5min + 5s);
  cr_expect_not(Play.isBlocked(0, Deadly));
  Play.crash(1, "t4", Deadly);
  cr_expect(Play.isBlocked(0, Deadly));
  Play.run(6min);
  cr_expect(Play.isBlocked(0, Deadly));
  cr_expect(Play.m_Nodes[1]->m_Log.has("part_quarantined", {"term=2"}));
}

Test(quarantineservice, confirmedQuarantineOfASoundPartEndsWithItsNextAnswer) {
  auto Play = Routers(2);
  for (const auto *Target : {"t1", "t2", "t3"}) {
    Play.crash(0, Target, Deadly);
  }
  Play.run(5s);
  Play.service(1).onResponseBegun(Deadly);
  Play.run(3s);
  cr_expect_not(Play.isBlocked(0, Deadly));
  cr_expect_not(Play.isBlocked(1, Deadly));
}

Test(quarantineservice, unreadableRecordsAndUpdatesAreRejected) {
  auto Play = Routers(1);
  const auto Good = encodeRecord({{1, 2}, 1, 5000ms});
  for (const auto &Text : {std::string("x"), std::string("{}"), Good.substr(0, 20),
                           encodeRecord({{1, 2}, 1, -5ms}), encodeRecord({{1, 2}, 0, 5ms})}) {
    Play.service(0).onRecordChanged({recordKey({1, 2}), Text, 3, 3});
  }
  Play.service(0).onRecordChanged({recordKey({1, 3}), Good, 3, 3});
  cr_expect_eq(Play.service(0).blockedParts(), 0U);
  Play.service(0).onRecordChanged({recordKey({1, 2}), Good, 3, 3});
  cr_expect_eq(Play.service(0).blockedParts(), 1U);
  auto Update = QuarantineUpdate{"vm1", {{{1, 2, {3, 4}}, 5}}, {{6, 7}}, {{{8, 9}, 1, 2, 3}}};
  const auto Bytes = encodeUpdate(Update);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    cr_expect_not(decodeUpdate(std::string_view(Bytes).substr(0, Size)).ok());
  }
}

// Guards against a router that ends at a record that somebody else has written.
Test(quarantineservice, oddRecordIsRejected) {
  for (const auto &Text : {std::string(300000, '['), std::string(R"({"part":1e999})"),
                           R"({"part":)" + std::string(300000, '{')}) {
    cr_expect_not(decodeRecord(Text).ok());
  }
}
