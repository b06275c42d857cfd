#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"
#include "streamversions/originlog.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::streamversions;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  auto read() -> std::optional<std::vector<OriginReport>> {
    auto Result = std::optional<std::vector<OriginReport>>();
    m_OriginLog.read([&Result](auto Reports) { Result = std::move(Reports); });
    m_Timers.runFor(10ms);
    return Result;
  }

  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  fakes::MemoryEventLog m_Log;
  OriginLog m_OriginLog{"vm/1", m_Store, m_Timers, m_Clock, m_Log};
};

const auto Origin = StreamOrigin{"engines", "v1"};

} // namespace

Test(originlog, manyOriginsMakeOneWrite) {
  auto Test = Fixture();
  for (auto Key = StreamKey{1}; Key <= 100; ++Key) {
    Test.m_OriginLog.add({Key, Origin});
  }
  Test.m_Timers.runFor(1s);
  cr_expect_eq(Test.m_Store.m_Writes, 1);
  cr_expect_eq(Test.m_OriginLog.pending(), 0);
  cr_expect_eq(Test.read()->size(), 100);
}

Test(originlog, originsWaitForTheStore) {
  auto Test = Fixture();
  Test.m_Store.m_IsAway = true;
  Test.m_OriginLog.add({1, Origin});
  Test.m_Timers.runFor(2s);
  cr_expect_eq(Test.m_OriginLog.pending(), 1);
  cr_expect_not(Test.read());
  Test.m_OriginLog.setStoreReachable(false);
  Test.m_OriginLog.add({2, Origin});
  Test.m_Store.m_IsAway = false;
  Test.m_OriginLog.setStoreReachable(true);
  Test.m_Timers.runFor(2s);
  cr_expect_eq(Test.m_OriginLog.pending(), 0);
  cr_expect_eq(Test.read()->size(), 2);
}

Test(originlog, originsAreRemovedAfterTheirLife) {
  auto Test = Fixture();
  Test.m_OriginLog.add({1, Origin});
  Test.m_Timers.runFor(29s);
  cr_expect_eq(Test.read()->size(), 1);
  Test.m_Timers.runFor(12s);
  cr_expect_eq(Test.read()->size(), 0);
}

Test(originlog, endOfTheLeaseLosesNoWaitingOrigins) {
  auto Test = Fixture();
  Test.m_OriginLog.add({1, Origin});
  Test.m_Timers.runFor(1s);
  Test.m_Store.endLease(1);
  Test.m_OriginLog.add({2, Origin});
  Test.m_Timers.runFor(2s);
  cr_expect_eq(Test.m_OriginLog.pending(), 0);
  cr_expect(*Test.read() == std::vector<OriginReport>({{2, Origin}}));
}

Test(originlog, waitingOriginsAreBounded) {
  auto Test = Fixture();
  Test.m_OriginLog.setStoreReachable(false);
  for (auto Key = StreamKey{1}; Key <= 100000; ++Key) {
    Test.m_OriginLog.add({Key, Origin});
  }
  cr_expect_leq(Test.m_OriginLog.pending(), 16000);
}
