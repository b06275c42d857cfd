#include "configuration/tests/fixture.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace geraniumlift;
using namespace geraniumlift::configuration;
using namespace geraniumlift::configuration::testing;

// Guards against two concurrent publications that are both reported as accepted.
Test(publisher, onlyOneOfTwoConcurrentPublicationsIsAccepted) {
  auto Test = Fixture();
  auto Results = std::vector<PublishResult>();
  for (const auto *Name : {"left", "right"}) {
    Test.m_Publisher.publish({.m_Objects = setNamed(Name)},
                             [&](auto Result) { Results.push_back(std::move(Result)); });
  }
  Test.m_Scheduler.runFor(60s);
  cr_assert_eq(Results.size(), 2U);
  cr_assert(Results[0].m_Outcome == PublishOutcome::Accepted);
  cr_assert(Results[1].m_Outcome == PublishOutcome::Conflict);
  cr_assert_eq(Test.manifest().m_Generation, 1U);
  cr_assert_eq(Test.manifest().m_PublicationId, Results[0].m_PublicationId);
}

// Guards against a publication that is repeated or reported as failed although only the response
// was lost.
Test(publisher, lostResponseOfAppliedWriteIsAccepted) {
  auto Test = Fixture();
  Test.publishNamed("first");
  Test.failManifestWrite(Fault::LostApplied, 3s);
  const auto Result = Test.publishNamed("second");
  cr_assert(Result.m_Outcome == PublishOutcome::Accepted);
  cr_assert_eq(Result.m_Generation, 2U);
  cr_assert_eq(Test.manifest().m_Generation, 2U);
}

// Guards against a publication that is reported as accepted although its write was lost.
Test(publisher, lostWriteIsRepeated) {
  auto Test = Fixture();
  Test.failManifestWrite(Fault::LostNotApplied, 3s);
  const auto Result = Test.publishNamed("first");
  cr_assert(Result.m_Outcome == PublishOutcome::Accepted);
  cr_assert_eq(Test.manifest().m_PublicationId, Result.m_PublicationId);
}

// Guards against a wrong outcome after a lost response when others publish before it is resolved:
// an applied write reported as a conflict, or a write that was not applied reported as accepted.
Test(publisher, lostResponseIsResolvedAfterOtherPublications) {
  for (const auto InjectedFault : {Fault::LostApplied, Fault::LostNotApplied}) {
    auto Test = Fixture();
    Test.failManifestWrite(InjectedFault, 3s);
    auto Result = std::optional<PublishResult>();
    Test.m_Publisher.publish({.m_Objects = setNamed("mine")},
                             [&](auto PublishedResult) { Result = std::move(PublishedResult); });
    Test.m_Scheduler.runFor(1s);
    const auto Key = std::string(ManifestKey);
    const auto Found = Test.m_Store.m_Entries.find(Key);
    const auto IsApplied = Found != Test.m_Store.m_Entries.end();
    const auto Before = IsApplied ? Test.manifest() : Manifest();
    Test.m_Store.apply({.m_Key = Key,
                        .m_ExpectedModRevision = IsApplied ? Found->second.m_ModRevision : 0,
                        .m_Value = encodeManifest(nextManifest(Before, "other", {}))});
    Test.m_Scheduler.runFor(60s);
    cr_assert(Result->m_Outcome ==
              (IsApplied ? PublishOutcome::Accepted : PublishOutcome::Conflict));
    cr_assert_eq(Result->m_Generation, 1U);
  }
}

// Guards against a conflict that is reported without proof, when the manifest's list of recent
// publications no longer reaches back to the one in question.
Test(publisher, outcomeIsUnknownAfterTooManyOtherPublications) {
  auto Test = Fixture();
  Test.failManifestWrite(Fault::LostApplied, 3s);
  auto Result = std::optional<PublishResult>();
  Test.m_Publisher.publish({.m_Objects = setNamed("mine")},
                           [&](auto PublishedResult) { Result = std::move(PublishedResult); });
  Test.m_Scheduler.runFor(1s);
  for (std::size_t Index = 0; Index < MaxRecentPublications; ++Index) {
    const auto &Current = Test.m_Store.m_Entries.at(std::string(ManifestKey));
    const auto Next = nextManifest(Test.manifest(), "other-" + std::to_string(Index), {});
    Test.m_Store.apply({.m_Key = Current.m_Key,
                        .m_ExpectedModRevision = Current.m_ModRevision,
                        .m_Value = encodeManifest(Next)});
  }
  Test.m_Scheduler.runFor(60s);
  cr_assert(Result->m_Outcome == PublishOutcome::Unknown);
}

// Guards against a definite outcome that is reported without proof while the service does not
// respond, before and after the manifest write.
Test(publisher, unreachableServiceGivesUnavailableOrUnknown) {
  auto Test = Fixture();
  Test.failManifestWrite(Fault::LostApplied, 1h);
  cr_assert(Test.publishNamed("a").m_Outcome == PublishOutcome::Unknown);
  cr_assert(Test.publishNamed("b").m_Outcome == PublishOutcome::Unavailable);
}

// Guards against an outcome that is derived from a stale read of the manifest, older than the base.
Test(publisher, staleReadDoesNotDecideTheOutcome) {
  auto Test = Fixture();
  Test.publishNamed("first");
  const auto Key = std::string(ManifestKey);
  const auto Old = Test.m_Store.m_Entries.at(Key);
  Test.publishNamed("second");
  Test.failManifestWrite(Fault::LostApplied);
  auto Result = std::optional<PublishResult>();
  Test.m_Publisher.publish({.m_Objects = setNamed("third")},
                           [&](auto PublishedResult) { Result = std::move(PublishedResult); });
  Test.m_Scheduler.runFor(100ms);
  Test.m_Store.m_StaleValues[Key] = Old;
  Test.m_Scheduler.runFor(2s);
  cr_assert_not(Result.has_value());
  Test.m_Store.m_StaleValues.clear();
  Test.m_Scheduler.runFor(2s);
  cr_assert(Result->m_Outcome == PublishOutcome::Accepted);
  cr_assert_eq(Result->m_Generation, 3U);
}

// Guards against chunks that are never erased: those of replaced sets and those of publications
// that ended in a conflict.
Test(publisher, erasesUnusedChunks) {
  auto Test = Fixture();
  for (int Index = 0; Index < 5; ++Index) {
    Test.publishNamed("set-" + std::to_string(Index));
    const auto Outdated = Test.publish({.m_Objects = setNamed("x"), .m_ExpectedGeneration = 0});
    cr_assert(Outdated->m_Outcome == PublishOutcome::Conflict);
  }
  for (const auto *Name : {"left", "right"}) {
    Test.m_Publisher.publish({.m_Objects = setNamed(Name)}, [](auto) {});
  }
  Test.m_Scheduler.runFor(60s);
  cr_assert_eq(Test.m_Store.m_Entries.size(), 1 + Test.manifest().m_ChunkHashes.size());
}

// Guards against the erasure of a chunk that a concurrent publication uses again. The interleavings
// differ in the start time of the second publication, from 0 to 11 ms.
Test(publisher, keepsChunksThatAnotherPublicationReuses) {
  for (int Delay = 0; Delay < 12; ++Delay) {
    auto Test = Fixture();
    Test.m_Store.m_Latency = 1ms;
    Test.m_Store.m_EraseDelay = 3ms;
    Test.publishNamed("old");
    Test.m_Publisher.publish({.m_Objects = setNamed("new")}, [](auto) {});
    Test.m_Scheduler.runFor(std::chrono::milliseconds{Delay});
    Test.m_Publisher.publish({.m_Objects = setNamed("old")}, [](auto) {});
    Test.m_Scheduler.runFor(60s);
    for (const auto &Hash : Test.manifest().m_ChunkHashes) {
      cr_assert(Test.m_Store.m_Entries.contains(chunkKey(Hash)), "delay %d", Delay);
    }
    cr_assert_eq(Test.m_Store.m_Entries.size(), 1 + Test.manifest().m_ChunkHashes.size());
  }
}

// Guards against an invalid set, or one based on an outdated generation, that is written to the
// store.
Test(publisher, rejectedSetChangesNothing) {
  auto Test = Fixture();
  Test.publishNamed("first");
  const auto Before = Test.m_Store.m_Entries.size();
  auto Bad = setNamed("second");
  Bad.m_Workspaces["w"].m_Name = "w";
  Bad.m_Workspaces["w"].m_Budget = "nowhere";
  Bad.m_Workspaces["w"].m_PriorityClass = "paid";
  const auto Rejected = Test.publish({.m_Objects = Bad}).value();
  cr_assert(Rejected.m_Outcome == PublishOutcome::Rejected);
  cr_assert_eq(Rejected.m_Errors.size(), 1U);
  const auto Outdated =
      Test.publish({.m_Objects = setNamed("second"), .m_ExpectedGeneration = 0}).value();
  cr_assert(Outdated.m_Outcome == PublishOutcome::Conflict);
  // A manifest with an ID that decodeManifest rejects could not be read by any router or publisher.
  for (const auto &Id : {std::string(65, 'x'), std::string("a b"), std::string("\xff")}) {
    const auto Refused = Test.publish({.m_Objects = setNamed("second"), .m_PublicationId = Id});
    cr_assert(Refused->m_Outcome == PublishOutcome::Rejected);
  }
  cr_assert_eq(Test.m_Store.m_Entries.size(), Before);
  cr_assert_eq(Test.manifest().m_Generation, 1U);
}

// Guards against a manifest codec that loses a field, and a list of recent publications that grows
// without limit.
Test(manifest, keepsTheLastPublications) {
  auto Content = Manifest();
  for (int Index = 0; Index < 40; ++Index) {
    Content = nextManifest(Content, "p" + std::to_string(Index), {std::string(64, 'a')});
  }
  const auto Decoded = decodeManifest(encodeManifest(Content));
  cr_assert(Decoded.ok());
  cr_assert(*Decoded == Content);
  cr_assert_eq(Content.m_RecentPublications.size(), MaxRecentPublications);
  cr_assert(generationOf(Content, "p8") == Generation{9});
  cr_assert_not(generationOf(Content, "p7").has_value());
}

// Guards against a crash while decoding a manifest in which a byte was changed.
Test(manifest, decodingSurvivesChangedBytes) {
  const auto Text = encodeManifest(nextManifest({}, "p", {std::string(64, 'a')}));
  cr_assert(rc::check([&] {
    auto Changed = Text;
    Changed[*rc::gen::inRange<std::size_t>(0, Text.size())] = *rc::gen::arbitrary<char>();
    if (const auto Decoded = decodeManifest(Changed); Decoded.ok()) {
      RC_ASSERT(Decoded->m_Generation >= 1U);
    }
  }));
}
