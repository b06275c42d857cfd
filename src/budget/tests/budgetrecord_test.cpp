#include "budget/budgetrecord.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace geraniumlift::budget;

namespace {

auto sampleRecord() -> BudgetRecord {
  return {.m_ToppedUp = 1000,
          .m_TopUpIds = {"first \"quoted\" [[[[[{{{{"},
          .m_RetiredSettled = 100,
          .m_Holders = {{{"swansea-a-1", 7}, 300, 200, 12}, {{"cardiff-b-1", 9}, 600, 0, 1}},
          .m_RecentBills = {{"00ff", 42, 1700000000}}};
}

} // namespace

// Guards against a field that is lost or changed by encoding and decoding.
Test(budgetrecord, readsBackWhatItWrote) {
  const auto Decoded = decodeRecord(encodeRecord(sampleRecord()));
  cr_assert(Decoded.ok());
  cr_assert(*Decoded == sampleRecord());
}

// Guards against a crash of the router on a malformed record.
Test(budgetrecord, decodingSurvivesAnyInput) {
  cr_assert_not(decodeRecord("").ok());
  cr_assert_not(decodeRecord(std::string(1000000, '[')).ok());
  const auto Text = encodeRecord(sampleRecord());
  cr_assert(rc::check("mutated records decode to an error or to a valid record", [&] {
    auto Mutated = Text;
    const auto Count = *rc::gen::inRange(1, 6);
    for (int Step = 0; Step < Count; ++Step) {
      const auto At = *rc::gen::inRange<std::size_t>(0, Mutated.size());
      *rc::gen::arbitrary<bool>() ? Mutated.resize(At + 1)
                                  : (void)(Mutated[At] = *rc::gen::arbitrary<char>());
    }
    const auto Decoded = decodeRecord(Mutated);
    if (Decoded.ok()) {
      RC_ASSERT(checkRecord(*Decoded).ok());
    }
  }));
}

// Guards against a repeated top-up that is added twice, and against a total that overflows.
Test(budgetrecord, topUpCountsOnceAndNeverOverflows) {
  auto Record = BudgetRecord();
  cr_assert(*applyTopUp(Record, "a", 500) == TopUpOutcome::Added);
  cr_assert(*applyTopUp(Record, "a", 500) == TopUpOutcome::AlreadyApplied);
  cr_assert_eq(Record.m_ToppedUp, 500);
  cr_assert(absl::IsOutOfRange(applyTopUp(Record, "b", MaxBudgetTokens).status()));
  cr_assert(absl::IsInvalidArgument(applyTopUp(Record, "c", 0).status()));
  cr_assert(absl::IsInvalidArgument(applyTopUp(Record, "", 1).status()));
  cr_assert_eq(Record.m_ToppedUp, 500);
}

// Guards against accepting a record that grants more tokens than were topped up.
Test(budgetrecord, checkFindsEachViolation) {
  cr_assert(checkRecord(sampleRecord()).ok());
  auto Overgranted = sampleRecord();
  Overgranted.m_Holders[1].m_Granted = 601;
  cr_assert(absl::IsDataLoss(checkRecord(Overgranted)));
  auto Oversettled = sampleRecord();
  Oversettled.m_Holders[0].m_Settled = 301;
  cr_assert(absl::IsDataLoss(checkRecord(Oversettled)));
  auto Doubled = sampleRecord();
  Doubled.m_ToppedUp = 5000;
  Doubled.m_Holders[1].m_Holder = Doubled.m_Holders[0].m_Holder;
  cr_assert(absl::IsDataLoss(checkRecord(Doubled)));
}
