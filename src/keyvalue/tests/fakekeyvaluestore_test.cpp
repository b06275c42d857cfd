#include "fakes/fakekeyvaluestore.h"

#include "base/asioscheduler.h"

#include <criterion/criterion.h>
#include <future>

using namespace geraniumlift;
using keyvalue::WriteOutcome;

namespace {

auto swap(fakes::FakeKeyValueStore &Store, std::int64_t Expected, const std::string &Value)
    -> keyvalue::WriteResult {
  auto Result = keyvalue::WriteResult();
  Store.compareAndSwap({.m_Key = "k", .m_ExpectedModRevision = Expected, .m_Value = Value},
                       [&](const keyvalue::WriteResult &Given) { Result = Given; });
  return Result;
}

} // namespace

// Guards against a fake whose revision comparison differs from that of the service.
Test(fake, comparesRevisions) {
  auto Store = fakes::FakeKeyValueStore();
  const auto First = swap(Store, keyvalue::AbsentRevision, "a");
  cr_assert(First.m_Outcome == WriteOutcome::Applied);
  const auto Second = swap(Store, keyvalue::AbsentRevision, "b");
  cr_assert(Second.m_Outcome == WriteOutcome::Conflict);
  cr_assert_eq(Second.m_Current->m_Value, std::string("a"));
  cr_assert(swap(Store, First.m_ModRevision, "c").m_Outcome == WriteOutcome::Applied);
}

// Guards against a lost response that also drops the write, and against a delayed write that is
// applied although its comparison no longer holds.
Test(fake, separatesLostAnswersFromLateWrites) {
  auto Store = fakes::FakeKeyValueStore();
  Store.loseAnswers(1);
  cr_assert(swap(Store, keyvalue::AbsentRevision, "a").m_Outcome == WriteOutcome::Unknown);
  cr_assert_eq(Store.get("k")->m_Value, std::string("a"));
  Store.delayWrites(1);
  const auto Revision = Store.get("k")->m_ModRevision;
  cr_assert(swap(Store, Revision, "b").m_Outcome == WriteOutcome::Unknown);
  cr_assert(swap(Store, Revision, "c").m_Outcome == WriteOutcome::Applied);
  Store.applyLateWrites();
  cr_assert_eq(Store.get("k")->m_Value, std::string("c"));
  Store.setDown(true);
  cr_assert(swap(Store, Store.get("k")->m_ModRevision, "d").m_Outcome == WriteOutcome::Unknown);
  cr_assert_eq(Store.get("k")->m_Value, std::string("c"));
}

// Guards against keys that outlive their lease when the fake runs its callbacks on a scheduler.
Test(fake, endsLeasesOnTheScheduler) {
  auto Scheduler = base::AsioScheduler();
  auto Store = fakes::FakeKeyValueStore(&Scheduler);
  auto Lease = std::promise<keyvalue::LeaseId>();
  Store.setDelay(std::chrono::milliseconds{5});
  Store.grantLease(std::chrono::seconds{1}, [&](const absl::StatusOr<keyvalue::LeaseId> &Given) {
    Lease.set_value(*Given);
  });
  const auto Id = Lease.get_future().get();
  auto Written = std::promise<keyvalue::WriteResult>();
  Store.compareAndSwap({.m_Key = "k", .m_Value = "v", .m_Lease = Id},
                       [&](const keyvalue::WriteResult &Given) { Written.set_value(Given); });
  cr_assert(Written.get_future().get().m_Outcome == WriteOutcome::Applied);
  Store.expireLease(Id);
  cr_assert(!Store.get("k"));
}
