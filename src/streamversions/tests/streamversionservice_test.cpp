#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"
#include "streamversions/streamversionservice.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::streamversions;
using namespace std::chrono_literals;

namespace {

struct TestFleet;

/// Delivers messages between the routers of a test fleet after 2 ms.
struct FakeStreamLink final : IStreamLink {
  explicit FakeStreamLink(TestFleet &Fleet) : m_Fleet(Fleet) {}

  auto send(const std::string &Router, const StreamMessage &Message) -> void override;
  auto publish(const RecordUpdate &Update, const std::string &Except) -> void override;

  TestFleet &m_Fleet;
};

/// Routers that share a store, and the versions that each of them sees.
struct TestFleet {
  explicit TestFleet(int Routers) {
    for (auto Number = 0; Number < Routers; ++Number) {
      m_Names.insert("vm-" + std::to_string(Number));
    }
    for (const auto &Name : m_Names) {
      startRouter(Name);
    }
  }

  auto startRouter(const std::string &Name) -> void {
    auto Options = StreamVersionOptions();
    Options.m_Router = Name;
    Options.m_Incarnation = ++m_Starts;
    m_Routers[Name] = std::make_unique<StreamVersionService>(std::move(Options), m_Store, m_Link,
                                                             m_Timers, m_Clock, m_Log);
  }

  /// Replaces the processes of all routers; their timers keep running without effect.
  auto killAll() -> void {
    for (auto &[Name, Router] : m_Routers) {
      m_Killed.push_back(std::move(Router));
    }
    for (const auto &Name : m_Names) {
      startRouter(Name);
    }
  }

  auto kill(const std::string &Name) -> void {
    m_Killed.push_back(std::move(m_Routers.at(Name)));
    m_Routers.erase(Name);
    m_Names.erase(Name);
  }

  auto runFor(std::chrono::milliseconds Time) -> void {
    for (auto Passed = 0ms; Passed < Time; Passed += 100ms) {
      for (const auto &[Name, Router] : m_Routers) {
        Router->setRouters(m_Names);
        if (!m_Cut.contains(Name)) {
          m_Seen[Name] = m_Versions;
        }
        Router->advance(
            {{{"engines", m_Seen[Name]}}, !m_Cut.contains(Name), !m_Cut.contains(Name)});
      }
      m_Timers.runFor(100ms);
    }
  }

  auto router(const std::string &Name) -> StreamVersionService & { return *m_Routers.at(Name); }

  auto find(const std::string &Name, StreamKey Key) -> std::optional<StreamOrigin> {
    auto Result = std::optional<StreamOrigin>();
    auto Calls = 0;
    router(Name).findOrigin(Key, "engines", [&](const std::optional<StreamOrigin> &Origin) {
      Result = Origin;
      ++Calls;
    });
    m_Timers.runFor(200ms);
    cr_assert_eq(Calls, 1, "the callback runs once");
    return Result;
  }

  /// Begins a stream at the version if the router allows that.
  auto begin(const std::string &Name, StreamKey Key, const std::string &Version) -> bool {
    if (!router(Name).mayBegin("engines", Version)) {
      return false;
    }
    router(Name).onBegin(Key, {"engines", Version});
    m_Timers.runFor(5ms);
    return true;
  }

  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  fakes::MemoryEventLog m_Log;
  FakeStreamLink m_Link{*this};
  std::set<std::string> m_Names;
  std::map<std::string, std::unique_ptr<StreamVersionService>> m_Routers;
  std::vector<std::unique_ptr<StreamVersionService>> m_Killed;
  std::set<std::string> m_Versions = {"v1"};
  std::map<std::string, std::set<std::string>> m_Seen;

  /// Routers that reach neither the store nor other routers.
  std::set<std::string> m_Cut;
  int m_Messages = 0;
  std::uint64_t m_Starts = 0;
};

auto FakeStreamLink::send(const std::string &Router, const StreamMessage &Message) -> void {
  ++m_Fleet.m_Messages;
  m_Fleet.m_Timers.start(m_Fleet.m_Clock.steadyNow() + 2ms, [this, Router, Message] {
    const auto Found = m_Fleet.m_Routers.find(Router);
    if (Found != m_Fleet.m_Routers.end() && !m_Fleet.m_Cut.contains(Router)) {
      Found->second->onMessage(*decodeMessage(encodeMessage(Message)));
    }
  });
}

auto FakeStreamLink::publish(const RecordUpdate &Update, const std::string &Except) -> void {
  for (const auto &Name : m_Fleet.m_Names) {
    if (Name != Update.m_Router && Name != Except) {
      send(Name, Update);
    }
  }
}

const auto V1 = StreamOrigin{"engines", "v1"};
const auto V2 = StreamOrigin{"engines", "v2"};

} // namespace

Test(streamversions, takeUpGoesOnAfterAKillOfAllRoutersWhileOneVersionServes) {
  auto Fleet = TestFleet(4);
  Fleet.runFor(1s);
  cr_assert(Fleet.begin("vm-0", 1, "v1"));
  Fleet.killAll();
  Fleet.runFor(1s);
  cr_expect(Fleet.find("vm-2", 1) == V1);
}

Test(streamversions, oneVersionCostsNoMessages) {
  auto Fleet = TestFleet(4);
  Fleet.runFor(1s);
  const auto Messages = Fleet.m_Messages;
  const auto Writes = Fleet.m_Store.m_Writes;
  for (auto Key = StreamKey{1}; Key <= 50; ++Key) {
    cr_assert(Fleet.begin("vm-0", Key, "v1"));
  }
  Fleet.runFor(30s);
  cr_expect_eq(Fleet.m_Messages, Messages);
  cr_expect_eq(Fleet.m_Store.m_Writes, Writes);
}

Test(streamversions, streamsBeginOnAVersionOnlyOnceTheStoreNamesIt) {
  auto Fleet = TestFleet(3);
  Fleet.runFor(1s);
  Fleet.m_Versions = {"v1", "v2"};
  Fleet.m_Store.m_IsAway = true;
  Fleet.runFor(2s);
  cr_expect_not(Fleet.begin("vm-0", 1, "v2"));
  Fleet.m_Store.m_IsAway = false;
  Fleet.runFor(1s);
  cr_expect(Fleet.begin("vm-0", 1, "v2"));
  cr_expect(Fleet.begin("vm-2", 2, "v2"), "other routers learn of it");
}

// Guards against a text joined from two versions at a router that has not heard of the second one.
Test(streamversions, routerThatHasNotHeardOfAVersionDoesNotTakeItsStreamsForOthers) {
  for (const auto IsCut : {false, true}) {
    auto Fleet = TestFleet(4);
    Fleet.runFor(1s);
    Fleet.m_Cut = {"vm-3"};
    Fleet.m_Versions = {"v1", "v2"};
    Fleet.runFor(1s);
    cr_assert(Fleet.begin("vm-0", 1, "v2"));
    if (!IsCut) {
      Fleet.m_Cut.clear();
    }
    Fleet.m_Store.m_IsAway = IsCut;
    const auto Origin = Fleet.find("vm-3", 1);
    cr_expect(IsCut ? !Origin : Origin == V2);
  }
}

Test(streamversions, streamsOfAKilledRouterAreKnownToOthers) {
  auto Fleet = TestFleet(6);
  Fleet.runFor(1s);
  cr_assert(Fleet.begin("vm-0", 1, "v1"), "before the second version");
  Fleet.m_Versions = {"v1", "v2"};
  Fleet.runFor(1s);
  cr_assert(Fleet.begin("vm-0", 2, "v2"));
  cr_assert(Fleet.begin("vm-0", 3, "v1"));
  Fleet.kill("vm-0");
  Fleet.kill("vm-1");
  Fleet.runFor(200ms);
  cr_expect(Fleet.find("vm-4", 1) == V1);
  cr_expect(Fleet.find("vm-5", 2) == V2);
  cr_expect(Fleet.find("vm-2", 3) == V1);
  cr_expect_not(Fleet.find("vm-2", 4), "a stream that nobody has begun");
}

Test(streamversions, streamsAreKnownAfterAKillOfAllThatRememberThem) {
  auto Fleet = TestFleet(8);
  Fleet.m_Versions = {"v1", "v2"};
  Fleet.runFor(1s);
  for (auto Key = StreamKey{1}; Key <= 20; ++Key) {
    cr_assert(Fleet.begin("vm-0", Key, Key % 2 == 0 ? "v1" : "v2"));
  }
  Fleet.runFor(500ms);
  auto Left = std::string();
  for (const auto &[Name, Router] : Fleet.m_Routers) {
    Left = Router->rememberedStreams() == 0 ? Name : Left;
  }
  cr_assert_not(Left.empty());
  for (const auto &Name : std::set<std::string>(Fleet.m_Names)) {
    if (Name != Left) {
      Fleet.kill(Name);
    }
  }
  Fleet.runFor(200ms);
  const auto Lists = Fleet.m_Store.m_Lists;
  for (auto Key = StreamKey{1}; Key <= 20; ++Key) {
    cr_expect(Fleet.find(Left, Key) == (Key % 2 == 0 ? V1 : V2));
  }
  cr_expect_not(Fleet.find(Left, 21));
  cr_expect_leq(Fleet.m_Store.m_Lists - Lists, 3, "one reading serves many take-ups");
}

// Guards against take-ups that are refused although the version of the stream still serves.
Test(streamversions, streamsOfTwoVersionsAreKnownAfterAKillOfAllRouters) {
  auto Fleet = TestFleet(5);
  Fleet.runFor(1s);
  cr_assert(Fleet.begin("vm-0", 1, "v1"));
  Fleet.m_Versions = {"v1", "v2"};
  Fleet.runFor(1s);
  for (auto Key = StreamKey{2}; Key < 40; ++Key) {
    cr_assert(Fleet.begin("vm-" + std::to_string(Key % 5), Key, Key % 3 == 0 ? "v1" : "v2"));
  }
  const auto Writes = Fleet.m_Store.m_Writes;
  Fleet.runFor(500ms);
  cr_expect_leq(Fleet.m_Store.m_Writes - Writes, 2, "one router stores them together");
  Fleet.killAll();
  Fleet.runFor(1s);
  cr_expect(Fleet.find("vm-1", 1) == V1, "begun before the second version");
  for (auto Key = StreamKey{2}; Key < 40; ++Key) {
    cr_expect(Fleet.find("vm-3", Key) == (Key % 3 == 0 ? V1 : V2));
  }
  cr_expect_not(Fleet.find("vm-3", 40));
}

// Guards against joined texts when the last targets of the old version left just before the kill.
Test(streamversions, streamsOfAVersionThatHasLeftAreNotTakenForOthersAfterAKillOfAll) {
  auto Fleet = TestFleet(4);
  Fleet.runFor(1s);
  cr_assert(Fleet.begin("vm-0", 1, "v1"));
  Fleet.m_Versions = {"v1", "v2"};
  Fleet.runFor(500ms);
  Fleet.m_Versions = {"v2"};
  Fleet.runFor(2s);
  Fleet.killAll();
  Fleet.runFor(1s);
  for (const auto *Name : {"vm-0", "vm-1", "vm-2", "vm-3"}) {
    const auto Origin = Fleet.find(Name, 1);
    cr_expect(!Origin || Origin == V1);
  }
}

Test(streamversions, versionIsClosedOnceItsStreamsCannotGoOn) {
  auto Fleet = TestFleet(4);
  Fleet.runFor(1s);
  Fleet.m_Versions = {"v1", "v2"};
  Fleet.runFor(1s);
  Fleet.m_Versions = {"v2"};
  Fleet.runFor(39s);
  cr_expect_not(Fleet.find("vm-1", 7));
  Fleet.runFor(4s);
  cr_expect(Fleet.find("vm-1", 7) == V2);
  cr_expect_not(Fleet.router("vm-2").mayBegin("engines", "v1"));
}

// A write that takes the version out may be on its way, so that streams must wait for a newer
// record.
Test(streamversions, versionThatComesBackIsRecordedAnew) {
  auto Fleet = TestFleet(2);
  Fleet.m_Versions = {"v1", "v2"};
  Fleet.runFor(1s);
  Fleet.m_Versions = {"v2"};
  Fleet.runFor(30s);
  const auto Writes = Fleet.m_Store.m_Writes;
  Fleet.m_Versions = {"v1", "v2"};
  for (const auto &[Name, Router] : Fleet.m_Routers) {
    Router->advance({{{"engines", Fleet.m_Versions}}, true, true});
    cr_expect_not(Router->mayBegin("engines", "v1"));
  }
  Fleet.runFor(1s);
  cr_expect_gt(Fleet.m_Store.m_Writes, Writes);
  cr_expect(Fleet.begin("vm-0", 1, "v1"));
}

Test(streamversions, recordThatSomebodyRemovedIsWrittenAgain) {
  auto Fleet = TestFleet(3);
  Fleet.runFor(1s);
  Fleet.m_Store.m_Keys.clear();
  cr_expect_not(Fleet.find("vm-1", 7), "the record does not prove anything");
  Fleet.m_Versions = {"v1", "v2"};
  Fleet.runFor(2s);
  cr_expect(Fleet.begin("vm-0", 1, "v2"));
  const auto Writes = Fleet.m_Store.m_Writes;
  Fleet.runFor(5s);
  cr_expect_leq(Fleet.m_Store.m_Writes - Writes, 2);
}

Test(streamversions, streamsOfOtherWorkspacesHaveOtherKeys) {
  cr_expect_neq(streamKey("a", "r"), streamKey("b", "r"));
  cr_expect_neq(streamKey("a/b", "r"), streamKey("a", "b/r"));
  cr_expect_eq(streamKey("a", "r"), streamKey("a", "r"));
}

Test(streamversions, messagesRoundTripAndInvalidBytesAreRejected) {
  const auto Messages = std::vector<StreamMessage>{
      OriginReports{{{1, V1}, {2, V2}}}, OriginQuery{"vm", 3, 4}, OriginReply{3, true, V2},
      RecordUpdate{"vm", {"engines", {"v1", "v2"}, 70}}};
  for (const auto &Message : Messages) {
    const auto Bytes = encodeMessage(Message);
    cr_assert(*decodeMessage(Bytes) == Message);
    for (auto Size = std::size_t{0}; Size < Bytes.size(); ++Size) {
      cr_assert_not(decodeMessage(std::string_view(Bytes).substr(0, Size)).ok());
    }
  }
  cr_expect_not(decodeMessage(std::string(60, '\xff')).ok());
  cr_expect(*decodeVersions(encodeVersions({"v1", "v\"2"})) ==
            std::set<std::string>({"v1", "v\"2"}));
  const auto Origins = std::vector<OriginReport>{{1, V1}, {3, V1}, {~StreamKey{0}, V2}};
  cr_expect(*decodeOrigins(encodeOrigins(Origins)) == Origins);
  for (const auto *Text : {"", "{}", "[1]", R"([{"pool":"p","version":"v"}])",
                           R"([{"pool":"p","version":"v","streams":["x"]}])"}) {
    cr_expect_not(decodeOrigins(Text).ok());
  }
  for (const auto *Text : {"", "[]", "{}", R"({"versions":1})", R"({"versions":[1]})"}) {
    cr_expect_not(decodeVersions(Text).ok());
  }
}
