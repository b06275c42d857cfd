#include "router/internal/coldtimes.h"
#include "router/internal/evacuationrecords.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::router;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::SteadyTime(1h);
using Names = std::set<std::string>;

} // namespace

// Guards against a late answer of the store that undoes what a relay has told since.
Test(evacuationrecords, olderChangesDoNotUndoNewerOnes) {
  auto Records = EvacuationRecords();
  Records.put("a", 5);
  Records.remove("a", 9);
  Records.put("a", 11);
  Records.remove("a", 9);
  Records.keepOnly({}, 10);
  cr_expect(Records.evacuated() == Names{"a"});
  Records.remove("a", 12);
  Records.put("a", 11);
  cr_expect(Records.evacuated().empty());
}

// Guards against a data centre that stays closed because its removal was missed.
Test(evacuationrecords, listEndsEvacuationsThatItDoesNotName) {
  auto Records = EvacuationRecords();
  Records.put("a", 5);
  Records.put("b", 6);
  Records.keepOnly({"b"}, 8);
  cr_expect(Records.evacuated() == Names{"b"});
}

Test(evacuationrecords, emptyNameIsIgnored) {
  auto Records = EvacuationRecords();
  Records.put("", 5);
  cr_expect(Records.evacuated().empty());
}

// Guards against a target that is cold for ever because its registration is listed again and again.
Test(coldtimes, readingARegistrationAgainDoesNotProlongTheTime) {
  auto Times = ColdTimes();
  auto Record = forwarding::TargetRecord();
  Record.m_Id = "t";
  Record.m_Incarnation = 3;
  Record.m_ColdTime = 5000ms;
  Times.put(Record, 7, Start);
  Times.put(Record, 7, Start + 4s);
  cr_expect(Times.endOf(Record, Start + 4s) == std::optional(Start + 5s));
  cr_expect_not(Times.endOf(Record, Start + 5s).has_value());
  Times.put(Record, 8, Start + 6s);
  cr_expect(Times.endOf(Record, Start + 6s) == std::optional(Start + 11s));
  Record.m_Incarnation = 4;
  cr_expect_not(Times.endOf(Record, Start + 6s).has_value(), "that was another process");
}
