#include "base/hashing.h"
#include "configuration/configurationservice.h"
#include "configuration/tests/fixture.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::configuration;
using namespace geraniumlift::configuration::testing;

namespace {

/// Starts a service that uses the fixture's store.
auto startService(Fixture &Test, const std::string &Vm = "vm-a")
    -> std::unique_ptr<ConfigurationService> {
  auto Service = std::make_unique<ConfigurationService>(
      Test.m_Store, Test.m_Scheduler, Test.m_Scheduler.m_Clock, ConfigurationOptions{.m_Vm = Vm});
  Service->start();
  Test.m_Scheduler.runFor(100ms);
  return Service;
}

auto setDown(Fixture &Test, bool IsDown) -> void {
  Test.m_Store.m_SelectFault = [IsDown](const auto &, bool) {
    return IsDown ? Fault::Down : Fault::None;
  };
}

} // namespace

// Guards against an accepted configuration that is not adopted within seconds, observers that are
// not notified or notified twice, and chunks that are read again although they did not change.
Test(service, adoptsNewGenerationAndReadsOnlyChangedChunks) {
  auto Test = Fixture();
  Test.publishNamed("first");
  const auto Service = startService(Test);
  auto Generations = std::vector<Generation>();
  Service->subscribe([&](const auto &Adopted) { Generations.push_back(Adopted->m_Generation); });
  cr_assert_eq(Service->current()->m_Generation, 1U);
  cr_assert(Service->current()->m_Objects == setNamed("first"));

  Test.publishNamed("second");
  cr_assert(Service->current()->m_Objects == setNamed("second"));
  cr_assert(Service->adoptSerialized(Service->serialize()).ok());
  Test.m_Scheduler.runFor(1s);
  cr_assert(Generations == std::vector<Generation>{2});
  for (const auto &Hash : Test.manifest().m_ChunkHashes) {
    cr_assert_eq(Test.m_Store.m_ReadCounts[chunkKey(Hash)], 1);
  }
}

// Guards against a stale read that reverts an adopted configuration to an older one.
Test(service, staleReadDoesNotRevert) {
  auto Test = Fixture();
  Test.publishNamed("first");
  const auto Old = Test.m_Store.m_Entries.at(std::string(ManifestKey));
  Test.publishNamed("second");
  const auto Service = startService(Test);
  Test.m_Store.m_StaleValues[std::string(ManifestKey)] = Old;
  Test.m_Scheduler.runFor(5s);
  cr_assert_eq(Service->current()->m_Generation, 2U);
  Test.m_Store.m_Entries.clear();
  Test.m_Store.m_StaleValues.clear();
  Test.m_Scheduler.runFor(5s);
  cr_assert_eq(Service->current()->m_Generation, 2U);
}

// Guards against an outage of the store right after an acceptance that leaves routers without the
// set: a router that has it must be able to pass it on, also to one that starts during the outage.
Test(service, peerSnapshotIsAdoptedDuringOutage) {
  auto Test = Fixture();
  Test.publishNamed("first");
  const auto UpToDateService = startService(Test, "vm-a");
  const auto OutdatedService = startService(Test, "vm-b");
  setDown(Test, true);
  const auto StartingService = startService(Test, "vm-c");
  cr_assert(StartingService->serialize().empty());
  cr_assert(StartingService->adoptSerialized(UpToDateService->serialize()).ok());
  cr_assert_eq(StartingService->current()->m_Generation, 1U);

  setDown(Test, false);
  auto Result = std::optional<PublishResult>();
  Test.m_Publisher.publish({.m_Objects = setNamed("second")}, [&](auto PublishedResult) {
    Result = std::move(PublishedResult);
    setDown(Test, true);
  });
  Test.m_Scheduler.runFor(60s);
  cr_assert(Result->m_Outcome == PublishOutcome::Accepted);
  cr_assert_eq(OutdatedService->current()->m_Generation, 1U);
  setDown(Test, false);
  Test.m_Scheduler.runFor(1s);
  cr_assert_eq(OutdatedService->current()->m_Generation, 2U);
}

// Guards against a peer's snapshot that repeats chunks the receiver has, and against adopting one
// that lacks chunks, is older or is corrupted.
Test(service, peerSnapshotIsIncrementalAndVerified) {
  auto Test = Fixture();
  Test.publishNamed("first");
  const auto UpToDateService = startService(Test);
  const auto Old = UpToDateService->serialize();
  auto OutdatedService =
      ConfigurationService(Test.m_Store, Test.m_Scheduler, Test.m_Scheduler.m_Clock, {});
  cr_assert(OutdatedService.adoptSerialized(Old).ok());
  Test.publishNamed("second");
  const auto Whole = UpToDateService->serialize();
  const auto Delta = UpToDateService->serialize(OutdatedService.knownChunks());
  cr_assert_lt(Delta.size(), Whole.size());

  auto EmptyService =
      ConfigurationService(Test.m_Store, Test.m_Scheduler, Test.m_Scheduler.m_Clock, {});
  cr_assert(absl::IsFailedPrecondition(EmptyService.adoptSerialized(Delta)));
  for (std::size_t Offset = 0; Offset < Whole.size(); ++Offset) {
    cr_assert_not(EmptyService.adoptSerialized(Whole.substr(0, Offset)).ok());
    auto Damaged = Whole;
    Damaged[Offset] = static_cast<char>(Damaged[Offset] ^ 1);
    if (EmptyService.adoptSerialized(Damaged).ok()) {
      cr_assert(EmptyService.current()->m_Objects == setNamed("second"));
    }
  }
  cr_assert(OutdatedService.adoptSerialized(Delta).ok());
  cr_assert(OutdatedService.adoptSerialized(Old).ok());
  cr_assert(OutdatedService.current()->m_Objects == setNamed("second"));
}

// Guards against an invalid published set, or a chunk whose text does not match its hash, that
// replaces the set in force.
Test(service, invalidSetChangesNothing) {
  auto Test = Fixture();
  Test.publishNamed("first");
  const auto Service = startService(Test);
  const auto PublishChunk = [&](const std::string &Hash, const std::string &Text) {
    const auto Key = std::string(ManifestKey);
    Test.m_Store.apply({.m_Key = chunkKey(Hash), .m_Value = Text});
    Test.m_Store.apply({.m_Key = Key,
                        .m_ExpectedModRevision = Test.m_Store.m_Entries.at(Key).m_ModRevision,
                        .m_Value = encodeManifest(nextManifest(Test.manifest(), Hash, {Hash}))});
    Test.m_Scheduler.runFor(5s);
  };
  const auto Bad = std::string(R"({"kind":"workspace","objects":{"w":{"budget":"nowhere"}}})");
  PublishChunk(base::sha256Hex(Bad), Bad);
  PublishChunk(std::string(64, '0'), R"({"kind":"budget","objects":{"b":{}}})");
  cr_assert_eq(Service->current()->m_Generation, 1U);
  Test.publishNamed("second");
  cr_assert_eq(Service->current()->m_Generation, 4U);
}

// Guards against a data centre in which no router polls, or all of them do.
Test(polling, twoRoutersPollAndOthersFallBack) {
  auto Vms = std::vector<std::string>();
  for (int Index = 0; Index < 50; ++Index) {
    Vms.push_back("vm-" + std::to_string(Index));
  }
  const auto Pollers = designatedPollers(Vms);
  cr_assert_eq(Pollers.size(), 2U);
  for (const auto &Vm : Vms) {
    const auto IsPoller = std::find(Pollers.begin(), Pollers.end(), Vm) != Pollers.end();
    cr_assert(shouldPoll(Vm, Vms, 4999ms) == (IsPoller ? PollRole::Designated : PollRole::None));
    cr_assert(shouldPoll(Vm, Vms, 5s) == (IsPoller ? PollRole::Designated : PollRole::Fallback));
  }
  std::reverse(Vms.begin(), Vms.end());
  cr_assert(designatedPollers(Vms) == Pollers);
  cr_assert(shouldPoll("vm-a", {}, 0s) == PollRole::Designated);
}

// Guards against a router that is not a designated poller and polls at the full rate, or does not
// poll at all when it no longer hears from the designated pollers.
Test(polling, fallbackPollsAreSpacedOut) {
  auto Test = Fixture();
  const auto Key = std::string(ManifestKey);
  auto Vms = std::vector<std::string>{"vm-a", "vm-b", "vm-c", "vm-d"};
  const auto Pollers = designatedPollers(Vms);
  const auto Self = *std::find_if(Vms.begin(), Vms.end(), [&](const auto &Vm) {
    return std::find(Pollers.begin(), Pollers.end(), Vm) == Pollers.end();
  });
  auto Service = ConfigurationService(Test.m_Store, Test.m_Scheduler, Test.m_Scheduler.m_Clock,
                                      {.m_Vm = Self});
  auto Peers = std::vector<PeerPollActivity>();
  for (const auto &Vm : Vms) {
    Peers.push_back({Vm, Test.m_Scheduler.m_Clock.steadyNow()});
  }
  Service.updatePeers(Peers);
  Service.start();
  Test.m_Scheduler.runFor(4900ms);
  cr_assert_eq(Test.m_Store.m_ReadCounts[Key], 0);
  cr_assert(Service.pollRole() == PollRole::None);
  Test.m_Scheduler.runFor(60s);
  cr_assert(Service.pollRole() == PollRole::Fallback);
  cr_assert_geq(Test.m_Store.m_ReadCounts[Key], 5);
  cr_assert_leq(Test.m_Store.m_ReadCounts[Key], 13);
}
