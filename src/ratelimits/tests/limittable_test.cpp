#include "ratelimits/limittable.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::ratelimits;
using namespace std::chrono_literals;

namespace {

constexpr auto Start = base::SteadyTime(1h);

} // namespace

Test(limittable, newestStatementCounts) {
  auto Table = LimitTable();
  cr_expect_not(Table.add(1, {std::nullopt, Start}), "no limit is what is assumed");
  cr_expect(Table.add(1, {2.5, Start + 1s}));
  cr_expect_not(Table.add(1, {2.5, Start + 2s}));
  cr_expect_not(Table.add(1, {std::nullopt, Start}), "older");
  cr_expect_eq(Table.limitOf(1), 2.5);
  cr_expect(Table.add(1, {4.0, Start + 3s}));
  cr_expect_eq(Table.limitedTargets(), 1U);
  cr_expect(Table.add(1, {std::nullopt, Start + 4s}));
  cr_expect_not(Table.limitOf(1).has_value());
  cr_expect_eq(Table.limitedTargets(), 0U);
  cr_expect_not(Table.add(1, {4.0, Start + 3s}), "a late message does not bring it back");
}

Test(limittable, statementsArePassedOnWithTheirAge) {
  auto Table = LimitTable();
  Table.add(1, {1.25, Start});
  Table.add(2, {3.0, Start});
  Table.add(2, {std::nullopt, Start + 1s});
  auto Other = LimitTable();
  Other.add(2, {3.0, Start});
  for (const auto &Item : Table.reportAll(Start + 5s)) {
    Other.add(Item.m_Target, LimitTable::fromReport(Item, Start + 5s));
  }
  cr_expect_eq(Other.limitOf(1), 1.25);
  cr_expect_not(Other.limitOf(2).has_value());
}

Test(limittable, limitOfATargetThatIsSilentExpires) {
  auto Table = LimitTable();
  Table.add(1, {2.0, Start});
  Table.removeExpired(Start + 59s);
  cr_expect(Table.limitOf(1).has_value());
  Table.removeExpired(Start + 61s);
  cr_expect_not(Table.limitOf(1).has_value());
  cr_expect_eq(Table.limitedTargets(), 0U);
}
