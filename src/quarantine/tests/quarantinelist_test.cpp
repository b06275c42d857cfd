#include "quarantine/answerhistory.h"
#include "quarantine/quarantinelist.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::quarantine;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::SteadyTime(1h);
constexpr auto Key = PartKey{1, 2};

} // namespace

Test(quarantinelist, quarantineHoldsForItsWorkspaceUntilItsEnd) {
  auto List = QuarantineList(QuarantineOptions());
  List.begin(Key, Start);
  cr_expect_not_null(List.find(1, 2, Start + 299s));
  cr_expect_null(List.find(1, 3, Start));
  cr_expect_null(List.find(1, 2, Start + 300s));
  List.begin({5, AllWorkspaces}, Start);
  cr_expect_not_null(List.find(5, 3, Start));
}

Test(quarantinelist, termsOfTheSamePartGrow) {
  auto List = QuarantineList(QuarantineOptions());
  List.begin(Key, Start);
  cr_expect_eq(List.takeExpired(Start + 5min).size(), 1U);
  cr_expect(List.begin(Key, Start + 6min).m_Until == Start + 16min);
  cr_expect_eq(List.takeExpired(Start + 16min).size(), 1U);
  List.takeExpired(Start + 5h);
  cr_expect_eq(List.begin(Key, Start + 5h).m_Terms, 1U, "forgotten after a quiet time");
  cr_expect(List.termLength(30) == 1h);
}

Test(quarantinelist, answerEndsTheQuarantineThatBeganBefore) {
  auto List = QuarantineList(QuarantineOptions());
  List.begin(Key, Start);
  cr_expect(List.release(1, Start - 1ms).empty());
  cr_expect_eq(List.release(1, Start + 1ms).size(), 1U);
  cr_expect_null(List.find(1, 2, Start + 2ms));
}

Test(quarantinelist, numberOfQuarantinesIsBounded) {
  auto List = QuarantineList(QuarantineOptions());
  for (auto Number = PartHash{1}; Number <= 1000; ++Number) {
    List.begin({Number, 2}, Start + Number * 1ms);
  }
  cr_expect_eq(List.entries().size(), QuarantineOptions().m_MaxEntries);
  cr_expect(List.contains({1000, 2}));
}

Test(quarantinelist, answerHistoryForgetsTheOldestAndIsBounded) {
  auto History = AnswerHistory();
  History.record(1, Start);
  cr_expect(History.lastAnswer(1) == Start);
  for (auto Number = PartHash{2}; Number < 100000; ++Number) {
    History.record(Number, Start + 1s);
  }
  cr_expect_not(History.lastAnswer(1).has_value());
  cr_expect(History.lastAnswer(99999).has_value());
}
