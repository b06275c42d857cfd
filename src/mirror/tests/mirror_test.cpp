#include "mirror/mirrorexchange.h"

#include "base/random.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace geraniumlift;
using namespace geraniumlift::mirror;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::SteadyTime(1h);

auto exchange(const std::string &Name) -> MirrorExchange {
  return {Name, {"targets/", "routers/"}, ReaderOptions()};
}

auto item(const std::string &Key, const std::string &Value, std::int64_t Revision)
    -> keyvalue::KeyValue {
  return {Key, Value, 1, Revision};
}

/// Sends the reader's request to the relay and the answer back, through the codec.
auto update(MirrorExchange &Reader, const MirrorExchange &Relay, base::SteadyTime Now)
    -> std::vector<keyvalue::WatchEvent> {
  const auto Request = decodeRequest(encodeRequest(Reader.buildRequest(Now)));
  cr_assert(Request.ok());
  const auto Update = decodeUpdate(encodeUpdate(Relay.answer(*Request, Now)));
  cr_assert(Update.ok());
  return Reader.apply(*Update);
}

auto confirm(MirrorExchange &Relay, std::int64_t Revision, base::SteadyTime Now) -> void {
  Relay.onConfirmed("targets/", Revision, Now);
  Relay.onConfirmed("routers/", Revision, Now);
}

} // namespace

Test(mirror, onlyChangesOfMeaningArePassedOn) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  Relay.put(item("targets/a", "ready 1", 5), "ready");
  confirm(Relay, 5, Start);
  cr_assert_eq(update(Reader, Relay, Start).size(), 1U);
  Relay.put(item("targets/a", "ready 2", 9), "ready");
  confirm(Relay, 9, Start);
  cr_assert(update(Reader, Relay, Start).empty(), "the record was only rewritten");
  cr_assert_eq(Reader.revisionOf("targets/"), 9);
  Relay.put(item("targets/a", "leaving 3", 12), "leaving");
  Relay.remove("routers/vm-1", 13, Start);
  confirm(Relay, 13, Start);
  const auto Events = update(Reader, Relay, Start);
  cr_assert_eq(Events.size(), 2U);
  cr_assert_eq(Events[0].m_Item.m_Value, "leaving 3");
  cr_assert(Events[1].m_IsRemoved);
  cr_assert(update(Reader, Relay, Start).empty(), "each change is applied once");
}

// Guards against a router that goes back to an older state because a relay is behind it.
Test(mirror, relayThatIsBehindIsNotFollowed) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  Relay.put(item("targets/a", "ready", 5), "ready");
  confirm(Relay, 5, Start);
  confirm(Reader, 20, Start);
  cr_assert(update(Reader, Relay, Start).empty());
  cr_assert_eq(Reader.revisionOf("targets/"), 20);
  cr_assert(Reader.reader().mustFollowStore(Start));
  confirm(Relay, 21, Start);
  cr_assert(update(Reader, Relay, Start).empty());
  cr_assert_not(Reader.reader().mustFollowStore(Start));
}

// Guards against readers that go to the store because they have heard from it since the relay's
// last watch of records without a change time; the others must be as current as ever.
Test(mirror, relayMayBeBehindInRecordsWithAnAllowance) {
  const auto Prefixes = std::vector<std::string>{"targets/", "routers/"};
  const auto Allowances = std::map<std::string, std::chrono::milliseconds>{{"routers/", 3000ms}};
  auto Relay = MirrorExchange("relay", Prefixes, ReaderOptions(), Allowances);
  auto Reader = MirrorExchange("reader", Prefixes, ReaderOptions(), Allowances);
  Relay.onConfirmed("", 5, Start);
  Reader.onConfirmed("routers/", 9, Start + 1s);
  Relay.onConfirmed("targets/", 10, Start + 3s);
  cr_assert(update(Reader, Relay, Start + 3s).empty());
  cr_expect_eq(Reader.revisionOf("routers/"), 9);
  cr_expect_not(Reader.reader().mustFollowStore(Start + 3s));
  Relay.onConfirmed("targets/", 11, Start + 5s);
  update(Reader, Relay, Start + 5s);
  cr_expect(Reader.reader().mustFollowStore(Start + 5s), "the allowance is over");
  Relay.onConfirmed("routers/", 11, Start + 5s);
  update(Reader, Relay, Start + 5s);
  cr_expect_not(Reader.reader().mustFollowStore(Start + 5s));
  Reader.onConfirmed("targets/", 15, Start + 5s);
  update(Reader, Relay, Start + 6500ms);
  cr_expect(Reader.reader().mustFollowStore(Start + 6500ms));
}

// Guards against a target that has left and is kept for good, because the relay was restarted in
// between and has never heard of it (DRAIN).
Test(mirror, restartedRelayDoesNotPassOverRemovals) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  Relay.put(item("targets/a", "ready", 5), "ready");
  Relay.put(item("targets/b", "ready", 6), "ready");
  confirm(Relay, 6, Start);
  cr_assert_eq(update(Reader, Relay, Start).size(), 2U);
  auto Restarted = exchange("relay");
  Restarted.put(item("targets/b", "ready", 6), "ready");
  Restarted.onListed("", {"targets/b"}, 12, Start + 1s);
  update(Reader, Restarted, Start + 1s);
  cr_expect_leq(Reader.revisionOf("targets/"), 6, "the removal of targets/a is still to come");
  cr_expect(Reader.reader().mustFollowStore(Start + 3s));
  Reader.onConfirmed("", 12, Start + 3s);
  confirm(Restarted, 13, Start + 3s);
  update(Reader, Restarted, Start + 3s);
  cr_expect_not(Reader.reader().mustFollowStore(Start + 3s));
}

// Guards against a router that relies on a relay which is itself cut off from the store, or that
// does not notice that its relay has died.
Test(mirror, routerFollowsTheStoreWhenItsRelayIsLateOrSilent) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  cr_assert(Reader.reader().mustFollowStore(Start), "nothing is known yet");
  confirm(Relay, 5, Start);
  update(Reader, Relay, Start + 500ms);
  cr_assert_not(Reader.reader().mustFollowStore(Start + 1s));
  cr_assert(Reader.reader().mustFollowStore(Start + 2100ms), "the relay is silent");
  for (auto Time = 500ms; Time <= 5s; Time += 300ms) {
    update(Reader, Relay, Start + Time);
  }
  cr_assert(Reader.reader().mustFollowStore(Start + 5s), "the relay's knowledge is old");
}

// Guards against timeouts that add up: the age of a relay's knowledge, and the time for which a
// reader then waits for a better update.
Test(mirror, ageCountsFromTheStoresConfirmation) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  confirm(Relay, 5, Start);
  update(Reader, Relay, Start + 900ms);
  cr_assert_not(Reader.reader().mustFollowStore(Start + 950ms));
  cr_assert(Reader.reader().mustFollowStore(Start + 1100ms),
            "the store confirmed this 1,100 ms ago, though the update is new");
  cr_assert_eq(Reader.reader().followStoreAt(), Start + 1s);
}

// Guards against a relay that was frozen or is slow: its answer tells an age that was true when it
// was composed.
Test(mirror, answerThatWasLongOnItsWayIsAsOldAsItsRequest) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  confirm(Relay, 5, Start);
  const auto Request = Reader.buildRequest(Start);
  const auto Late = Relay.answer(Request, Start);
  Reader.apply(Late);
  cr_assert(Reader.reader().mustFollowStore(Start + 3s), "the answer came after three seconds");
  auto Unasked = Late;
  Unasked.m_RequestNumber = 77;
  auto Other = exchange("other");
  Other.apply(Unasked);
  cr_assert(Other.reader().mustFollowStore(Start), "no request tells how old it is");
  cr_assert_eq(Other.revisionOf("targets/"), 5, "what it tells is used all the same");
}

// Guards against a reader that takes a part of the changes for all of them.
Test(mirror, incompleteUpdateIsNotCurrent) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  for (auto Number = 0; Number < 100; ++Number) {
    Relay.put(item(fmt::format("targets/t{}", Number), std::string(250, 'x'), 10 + Number),
              "ready");
  }
  confirm(Relay, 200, Start);
  update(Reader, Relay, Start);
  cr_assert(Reader.reader().hasMore());
  cr_assert(Reader.reader().mustFollowStore(Start));
  for (auto Round = 0; Round < 10 && Reader.reader().hasMore(); ++Round) {
    update(Reader, Relay, Start);
  }
  cr_assert_not(Reader.reader().hasMore());
  cr_assert_not(Reader.reader().mustFollowStore(Start));
}

Test(mirror, updateWithAGapIsNotApplied) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  Relay.put(item("targets/a", "ready", 5), "ready");
  confirm(Relay, 5, Start);
  auto Request = Reader.buildRequest(Start);
  Request.m_Revisions = {3, 3};
  const auto Update = Relay.answer(Request, Start);
  cr_assert_eq(Update.m_Prefixes[0].m_Events.size(), 1U);
  cr_assert(Reader.apply(Update).empty(), "the reader knows nothing up to 3");
  cr_assert_eq(Reader.revisionOf("targets/"), 0);
}

// Guards against a reader that never learns of a removal because the relay has forgotten it.
Test(mirror, forgottenRemovalsAreNotSkipped) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  Relay.put(item("targets/a", "ready", 5), "ready");
  confirm(Relay, 5, Start);
  update(Reader, Relay, Start);
  Relay.remove("targets/a", 8, Start);
  confirm(Relay, 9, Start + 90s);
  Relay.removeExpired(Start + 90s);
  cr_assert(update(Reader, Relay, Start + 90s).empty());
  cr_assert_eq(Reader.revisionOf("targets/"), 5);
  cr_assert(Reader.reader().mustFollowStore(Start + 90s));
}

Test(mirror, keysThatALongListLacksAreRemoved) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  for (auto Number = 0; Number < 300; ++Number) {
    Relay.put(item(fmt::format("targets/t{}", Number), std::string(250, 'x'), 10 + Number),
              "ready");
  }
  Relay.put(item("routers/vm-1", "1", 400), "1");
  confirm(Relay, 400, Start);
  auto Known = std::set<std::string>();
  auto Rounds = 0;
  while (Reader.revisionOf("targets/") < 400 && Rounds < 50) {
    ++Rounds;
    for (const auto &Event : update(Reader, Relay, Start)) {
      Known.insert(Event.m_Item.m_Key);
    }
  }
  cr_assert_eq(Known.size(), 301U, "a long list comes in several updates");
  cr_assert_leq(Rounds, 12);
  Relay.onListed("targets/", {"targets/t7"}, 500, Start);
  const auto Events = update(Reader, Relay, Start);
  cr_assert_eq(Events.size(), 299U, "what was removed at once is told at once");
}

// Guards against a configuration that is too large for a datagram and then never reaches readers.
Test(mirror, readersOfALargeRecordFollowTheStore) {
  auto Relay = exchange("relay");
  auto Reader = exchange("reader");
  confirm(Relay, 1, Start);
  update(Reader, Relay, Start);
  Relay.put(item("targets/a", std::string(50000, 'x'), 5), "large");
  confirm(Relay, 5, Start + 2s);
  cr_assert(update(Reader, Relay, Start + 2s).empty());
  cr_assert(Reader.reader().mustFollowStore(Start + 2s));
  Reader.onConfirmed("targets/", 6, Start + 2s);
  confirm(Relay, 7, Start + 2s);
  update(Reader, Relay, Start + 2s);
  cr_assert_not(Reader.reader().mustFollowStore(Start + 2s), "it has read the record itself");
}

// Plays random changes, late and lost messages, and two relays of which one is sometimes behind.
// The reader's knowledge must always be that of the store at the revision that it names.
Test(mirror, readerIsAlwaysAtOneRevisionOfTheStore) {
  auto Random = base::RandomEngine(3);
  auto History = std::vector<std::map<std::string, std::string>>(1);
  auto Relays = std::vector<MirrorExchange>{exchange("relay-1"), exchange("relay-2")};
  auto KnownByRelay = std::vector<std::int64_t>{0, 0};
  auto Reader = exchange("reader");
  auto Known = std::map<std::string, std::string>();
  auto Pending = std::vector<MirrorUpdate>();
  for (auto Step = 0; Step < 5000; ++Step) {
    auto Next = History.back();
    const auto Key = fmt::format("targets/t{}", Random() % 8);
    if (Random() % 3 == 0) {
      Next.erase(Key);
    } else {
      Next[Key] = std::to_string(Random() % 4);
    }
    History.push_back(Next);
    for (std::size_t Index = 0; Index < Relays.size(); ++Index) {
      if (Random() % 4 != 0) {
        continue;
      }
      while (KnownByRelay[Index] + 1 < static_cast<std::int64_t>(History.size())) {
        const auto Revision = ++KnownByRelay[Index];
        const auto &Before = History[static_cast<std::size_t>(Revision - 1)];
        const auto &After = History[static_cast<std::size_t>(Revision)];
        for (auto Number = 0; Number < 8; ++Number) {
          const auto Name = fmt::format("targets/t{}", Number);
          if (After.contains(Name)) {
            if (!Before.contains(Name) || Before.at(Name) != After.at(Name)) {
              Relays[Index].put(item(Name, After.at(Name), Revision), After.at(Name));
            }
          } else if (Before.contains(Name)) {
            Relays[Index].remove(Name, Revision, Start);
          }
        }
      }
      confirm(Relays[Index], KnownByRelay[Index], Start);
    }
    Pending.push_back(Relays[Random() % 2].answer(Reader.buildRequest(Start), Start));
    if (Random() % 3 == 0) {
      const auto Chosen = Random() % Pending.size();
      for (const auto &Event : Reader.apply(Pending[Chosen])) {
        if (Event.m_IsRemoved) {
          Known.erase(Event.m_Item.m_Key);
        } else {
          Known[Event.m_Item.m_Key] = Event.m_Item.m_Value;
        }
      }
      Pending.erase(Pending.begin() + static_cast<std::ptrdiff_t>(Chosen));
      cr_assert(Known == History[static_cast<std::size_t>(Reader.revisionOf("targets/"))],
                "step %d", Step);
    }
    if (Pending.size() > 5) {
      Pending.erase(Pending.begin());
    }
  }
  cr_assert_gt(Reader.revisionOf("targets/"), 4900);
}

Test(mirror, malformedMessagesAreRejected) {
  auto Relay = exchange("relay");
  Relay.put(item("targets/a", "ready", 5), "ready");
  confirm(Relay, 5, Start);
  const auto Request = encodeRequest(exchange("reader").buildRequest(Start));
  const auto Update = encodeUpdate(Relay.answer(exchange("reader").buildRequest(Start), Start));
  for (std::size_t Size = 0; Size < Request.size(); ++Size) {
    cr_expect_not(decodeRequest(std::string_view(Request).substr(0, Size)).ok());
  }
  for (std::size_t Size = 0; Size < Update.size(); ++Size) {
    cr_expect_not(decodeUpdate(std::string_view(Update).substr(0, Size)).ok());
  }
  cr_expect_not(decodeRequest(std::string(200, '\xff')).ok());
  cr_expect_not(decodeUpdate(std::string(200, '\xff')).ok());
  cr_expect(exchange("other").answer({"reader", {1}}, Start).m_Prefixes.empty());
}
