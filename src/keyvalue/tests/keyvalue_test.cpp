#include "keyvalue/etcdkeyvaluestore.h"
#include "keyvalue/httpvmlist.h"

#include "scriptedserver.h"
#include "standinprocess.h"

#include <atomic>
#include <criterion/criterion.h>
#include <functional>
#include <future>
#include <thread>

using namespace geraniumlift;
using namespace geraniumlift::keyvalue;

namespace {

constexpr auto TestTimeout = std::chrono::milliseconds{300};

auto endpointOf(const std::string &Url) -> PlatformEndpoint { return {{Url}, TestTimeout}; }

/// Starts a call and waits for its result.
template <typename Result, typename Function>
auto await(Function Start) -> Result {
  auto Promise = std::make_shared<std::promise<Result>>();
  auto Future = Promise->get_future();
  Start([Promise](Result Given) { Promise->set_value(std::move(Given)); });
  return Future.get();
}

auto readKey(IKeyValueStore &Store, const std::string &Key)
    -> absl::StatusOr<std::optional<KeyValue>> {
  return await<absl::StatusOr<std::optional<KeyValue>>>([&](auto Done) { Store.read(Key, Done); });
}

auto swap(IKeyValueStore &Store, CompareAndSwap Request) -> WriteResult {
  return await<WriteResult>([&](auto Done) { Store.compareAndSwap(Request, Done); });
}

auto grant(IKeyValueStore &Store, std::chrono::seconds TimeToLive) -> absl::StatusOr<LeaseId> {
  return await<absl::StatusOr<LeaseId>>([&](auto Done) { Store.grantLease(TimeToLive, Done); });
}

auto keepAlive(IKeyValueStore &Store, LeaseId Lease) -> absl::Status {
  return await<absl::Status>([&](auto Done) { Store.keepAlive(Lease, Done); });
}

auto elapsedSince(std::chrono::steady_clock::time_point Start) -> std::chrono::milliseconds {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               Start);
}

} // namespace

// Guards against keys, revisions or binary values that change between client and service.
Test(etcd, comparesAndSwapsBinaryValues) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  cr_assert(!readKey(Store, "a/1")->has_value());
  const auto Bytes = std::string("\0\xff \"\n", 5);
  const auto First = swap(Store, {.m_Key = "a/1", .m_Value = Bytes});
  cr_assert(First.m_Outcome == WriteOutcome::Applied);
  const auto Read = readKey(Store, "a/1");
  cr_assert_eq((*Read)->m_Value, Bytes);
  cr_assert_eq((*Read)->m_ModRevision, First.m_ModRevision);
  const auto Second = swap(Store, {.m_Key = "a/1", .m_Value = "late"});
  cr_assert(Second.m_Outcome == WriteOutcome::Conflict);
  cr_assert_eq(Second.m_Current->m_ModRevision, First.m_ModRevision);
  cr_assert(swap(Store, {.m_Key = "a/2", .m_Value = "v"}).m_Outcome == WriteOutcome::Applied);
  cr_assert(swap(Store, {.m_Key = "b", .m_Value = "v"}).m_Outcome == WriteOutcome::Applied);
  const auto Listed =
      await<absl::StatusOr<std::vector<KeyValue>>>([&](auto Done) { Store.list("a/", Done); });
  cr_assert_eq(Listed->size(), 2U);
  cr_assert_eq(Listed->back().m_Key, std::string("a/2"));
}

// Guards against removing a key that has changed in the meantime.
Test(etcd, erasesOnlyTheExpectedRevision) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  const auto Revision = swap(Store, {.m_Key = "k", .m_Value = "v"}).m_ModRevision;
  const auto Erase = [&](std::int64_t Expected) {
    return await<WriteResult>([&](auto Done) { Store.compareAndErase("k", Expected, Done); });
  };
  cr_assert(Erase(Revision + 1).m_Outcome == WriteOutcome::Conflict);
  cr_assert(Erase(Revision).m_Outcome == WriteOutcome::Applied);
  const auto Again = Erase(Revision);
  cr_assert(Again.m_Outcome == WriteOutcome::Conflict);
  cr_assert(!Again.m_Current);
}

// Guards against a client that still treats a lease as valid after it has ended.
Test(etcd, endsLeasesAndTheirKeys) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  const auto Lease = grant(Store, std::chrono::seconds{1});
  cr_assert(Lease.ok());
  cr_assert(swap(Store, {.m_Key = "k", .m_Value = "v", .m_Lease = *Lease}).m_Outcome ==
            WriteOutcome::Applied);
  cr_assert(keepAlive(Store, *Lease).ok());
  std::this_thread::sleep_for(std::chrono::milliseconds{1100});
  cr_assert(absl::IsNotFound(keepAlive(Store, *Lease)));
  cr_assert(!readKey(Store, "k")->has_value());
  const auto Late = swap(Store, {.m_Key = "k", .m_Value = "v", .m_Lease = *Lease});
  cr_assert(Late.m_Outcome == WriteOutcome::Unknown && absl::IsNotFound(Late.m_Status));
  const auto Second = grant(Store, std::chrono::seconds{60});
  const auto Revoke = [&] {
    return await<absl::Status>([&](auto Done) { Store.revokeLease(*Second, Done); });
  };
  cr_assert(Revoke().ok());
  cr_assert(absl::IsNotFound(Revoke()));
}

// Guards against reporting a write as failed although it took effect.
Test(etcd, lostAnswerIsUnknownAndApplied) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  Service.control(R"({"lose_answers":1})");
  const auto Written = swap(Store, {.m_Key = "k", .m_Value = "v"});
  cr_assert(Written.m_Outcome == WriteOutcome::Unknown);
  cr_assert(absl::IsDeadlineExceeded(Written.m_Status));
  cr_assert_eq((*readKey(Store, "k"))->m_Value, std::string("v"));
}

// Guards against a delayed first write that overwrites a second one made in the meantime.
Test(etcd, delayedWriteIsUnknownAndFailsItsCompareLater) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  Service.control(R"({"delay_ms":600})");
  cr_assert(swap(Store, {.m_Key = "k", .m_Value = "1"}).m_Outcome == WriteOutcome::Unknown);
  Service.control(R"({"delay_ms":0})");
  cr_assert(swap(Store, {.m_Key = "k", .m_Value = "2"}).m_Outcome == WriteOutcome::Applied);
  std::this_thread::sleep_for(std::chrono::milliseconds{500});
  cr_assert_eq((*readKey(Store, "k"))->m_Value, std::string("2"));
}

// Guards against an outage that is reported as a missing key, and against a client that does not
// recover when the service returns.
Test(etcd, downServiceIsUnavailableUntilItReturns) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  Service.control(R"({"down":true})");
  cr_assert(absl::IsUnavailable(readKey(Store, "k").status()));
  const auto Written = swap(Store, {.m_Key = "k", .m_Value = "v"});
  cr_assert(Written.m_Outcome == WriteOutcome::Unknown && absl::IsUnavailable(Written.m_Status));
  cr_assert(absl::IsUnavailable(grant(Store, std::chrono::seconds{1}).status()));
  Service.control(R"({"down":false})");
  cr_assert(readKey(Store, "k").ok());
}

// Guards against calls that hang while the service does not respond, and against a client that
// does not recover afterwards.
Test(etcd, silentServiceEndsAtTheTimeout) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  Service.control(R"({"silent":true})");
  const auto Start = std::chrono::steady_clock::now();
  cr_assert(absl::IsDeadlineExceeded(readKey(Store, "k").status()));
  cr_assert(elapsedSince(Start) < 2 * TestTimeout);
  Service.control(R"({"silent":false})");
  cr_assert(readKey(Store, "k").ok());
}

// Guards against a stand-in that returns the current value for a stale read.
Test(etcd, staleReadGivesThePreviousValue) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  const auto First = swap(Store, {.m_Key = "k", .m_Value = "1"});
  swap(Store, {.m_Key = "k", .m_ExpectedModRevision = First.m_ModRevision, .m_Value = "2"});
  Service.control(R"({"stale_reads":1})");
  cr_assert_eq((*readKey(Store, "k"))->m_Value, std::string("1"));
  cr_assert_eq((*readKey(Store, "k"))->m_Value, std::string("2"));
}

// Guards against calls that the service counts and the client does not.
Test(etcd, countsAgreeWithTheService) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  cr_assert(readKey(Store, "k").ok());
  cr_assert(readKey(Store, "k").ok());
  swap(Store, {.m_Key = "k", .m_Value = "v"});
  cr_assert(grant(Store, std::chrono::seconds{1}).ok());
  const auto Counts = Store.counts();
  cr_assert_eq(Counts[0].m_Calls, 2);
  cr_assert_eq(Counts[1].m_Calls, 1);
  cr_assert_eq(Counts[2].m_Calls, 1);
  cr_assert_eq(Service.send("GET", "/counts", ""),
               std::string(R"({"lease":1,"read":2,"vms":0,"weights":0,"write":1})"));
}

// Guards against each of several unresponsive pooled connections delaying a call of its own.
Test(etcd, oneTimeoutAbandonsAllSilentConnections) {
  auto Server = ScriptedServer();
  auto Store = EtcdKeyValueStore(endpointOf(Server.url()));
  auto Pending = std::vector<std::future<bool>>();
  for (auto Call = 0; Call < 4; ++Call) {
    Pending.push_back(std::async(std::launch::async, [&] { return readKey(Store, "k").ok(); }));
  }
  for (auto &Call : Pending) {
    cr_assert(Call.get());
  }
  Server.setMode(ServerMode::SilenceOpenConnections);
  cr_assert(absl::IsDeadlineExceeded(readKey(Store, "k").status()));
  const auto Start = std::chrono::steady_clock::now();
  for (auto Call = 0; Call < 4; ++Call) {
    cr_assert(readKey(Store, "k").ok());
  }
  cr_assert(elapsedSince(Start) < TestTimeout);
}

// Guards against the HTTP library resending requests on pooled connections: a write that was
// already applied would be sent again and reported as a conflict.
Test(etcd, neverSendsAWriteTwice) {
  auto Server = ScriptedServer();
  auto Store = EtcdKeyValueStore(endpointOf(Server.url()));
  cr_assert(readKey(Store, "k").ok());
  Server.setMode(ServerMode::Close);
  const auto Before = Server.requestCount();
  const auto Written = swap(Store, {.m_Key = "k", .m_Value = "v"});
  cr_assert(Written.m_Outcome == WriteOutcome::Unknown && absl::IsUnavailable(Written.m_Status));
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  cr_assert_eq(Server.requestCount(), Before + 1);
}

// Guards against a client that keeps using an unreachable server although another one works.
Test(etcd, nextServerIsUsedAfterAFailure) {
  const auto Service = StandinProcess();
  const auto Gone = "http://127.0.0.1:" + std::to_string(freePort());
  auto Store = EtcdKeyValueStore({{Gone, Service.url()}, TestTimeout});
  const auto Written = swap(Store, {.m_Key = "k", .m_Value = "v"});
  cr_assert(Written.m_Outcome == WriteOutcome::Unknown && absl::IsUnavailable(Written.m_Status));
  cr_assert(swap(Store, {.m_Key = "k", .m_Value = "v"}).m_Outcome == WriteOutcome::Applied);
}

// Guards against a deadlock: if sending a call blocked its thread, calls made from callbacks could
// occupy all 40 threads of the HTTP library's pool, and no call would ever end.
Test(etcd, callbacksMaySendTheNextCall) {
  const auto Service = StandinProcess();
  auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
  constexpr auto Chains = 64;
  constexpr auto CallsPerChain = 20;
  auto Finished = std::atomic<int>{0};
  auto All = std::promise<void>();
  std::function<void(int)> Next = [&](int Left) {
    if (Left == 0) {
      return ++Finished == Chains ? All.set_value() : void();
    }
    Store.read("k", [&, Left](const auto &) { Next(Left - 1); });
  };
  for (auto Chain = 0; Chain < Chains; ++Chain) {
    Next(CallsPerChain);
  }
  cr_assert(All.get_future().wait_for(std::chrono::seconds{20}) == std::future_status::ready);
}

// Guards against callbacks that run twice, never, or after the store was destroyed.
Test(etcd, destructionEndsOpenCallsOnce) {
  const auto Service = StandinProcess();
  Service.control(R"({"silent":true})");
  auto Calls = std::atomic<int>{0};
  auto Cancelled = std::atomic<int>{0};
  {
    auto Store = EtcdKeyValueStore(endpointOf(Service.url()));
    for (auto Call = 0; Call < 8; ++Call) {
      Store.read("k", [&](const absl::StatusOr<std::optional<KeyValue>> &Given) {
        ++Calls;
        Cancelled += absl::IsCancelled(Given.status()) ? 1 : 0;
      });
    }
  }
  cr_assert_eq(Cancelled.load(), 8);
  std::this_thread::sleep_for(2 * TestTimeout);
  cr_assert_eq(Calls.load(), 8);
}

// Guards against wrongly parsed VM states, and against a failure that is reported as an empty list.
Test(vmlist, readsStatesAndFailures) {
  const auto Service = StandinProcess();
  auto List = HttpVmList(endpointOf(Service.url()));
  const auto Read = [&] {
    return await<absl::StatusOr<std::vector<VmEntry>>>([&](auto Done) { List.read(Done); });
  };
  cr_assert(Read()->empty());
  Service.send("PUT", "/vms",
               R"({"vms":[{"name":"a","state":"live"},{"name":"b","state":"leaving"}]})");
  const auto Vms = Read();
  cr_assert_eq(Vms->size(), 2U);
  cr_assert(Vms->at(0).m_State == VmState::Live && Vms->at(1).m_State == VmState::Leaving);
  Service.send("PUT", "/vms", R"({"vms":[{"name":"a","state":"odd"}]})");
  cr_assert(absl::IsInternal(Read().status()));
  Service.control(R"({"down":true})");
  cr_assert(absl::IsUnavailable(Read().status()));
}
