#include "base/bufferlimit.h"

#include <criterion/criterion.h>

using namespace geraniumlift::base;

namespace {

struct Holder final : IBufferHolder {
  explicit Holder(BufferLimit &Limit) : m_Limit(Limit) {}
  ~Holder() override { m_Limit.setHeld(*this, 0); }
  Holder(const Holder &) = delete;
  auto operator=(const Holder &) -> Holder & = delete;

  auto dropBuffer() -> void override {
    ++m_Drops;
    m_Limit.setHeld(*this, 0);
  }

  BufferLimit &m_Limit;
  int m_Drops = 0;
};

} // namespace

Test(bufferlimit, holderOfMostGivesUp) {
  auto Limit = BufferLimit(100);
  auto Small = Holder(Limit);
  auto Large = Holder(Limit);
  auto Late = Holder(Limit);
  Limit.setHeld(Small, 30);
  Limit.setHeld(Large, 60);
  Limit.setHeld(Late, 10);
  cr_expect_eq(Limit.drops(), 0U);
  Limit.setHeld(Late, 11);
  cr_expect_eq(Large.m_Drops, 1);
  cr_expect_eq(Small.m_Drops + Late.m_Drops, 0);
  cr_expect_eq(Limit.heldBytes(), 41U);
}

// Guards against a single holder that exceeds the limit, and against several drops at once.
Test(bufferlimit, heldBytesStayWithinTheLimit) {
  auto Limit = BufferLimit(100);
  auto First = Holder(Limit);
  auto Second = Holder(Limit);
  Limit.setHeld(First, 50);
  Limit.setHeld(Second, 500);
  cr_expect_eq(Second.m_Drops, 1);
  cr_expect_eq(First.m_Drops, 0);
  Limit.setHeld(Second, 50);
  Limit.setLimit(40);
  Limit.setHeld(Second, 45);
  cr_expect_eq(First.m_Drops + Second.m_Drops, 3);
  cr_expect_eq(Limit.heldBytes(), 0U);
}

Test(bufferlimit, releasedBytesDoNotCount) {
  auto Limit = BufferLimit(100);
  auto Kept = Holder(Limit);
  for (auto Round = 0; Round < 10; ++Round) {
    auto Gone = Holder(Limit);
    Limit.setHeld(Gone, 60);
  }
  Limit.setHeld(Kept, 40);
  Limit.setHeld(Kept, 20);
  cr_expect_eq(Limit.heldBytes(), 20U);
  cr_expect_eq(Limit.drops(), 0U);
}
