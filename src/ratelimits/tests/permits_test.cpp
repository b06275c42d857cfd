#include "ratelimits/permitissuer.h"
#include "ratelimits/permitpool.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::ratelimits;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto Start = base::SteadyTime(1h);

} // namespace

Test(permits, issuerKeepsToTheLimitInEverySpan) {
  for (const auto Limit : {0.4, 1.2, 2.2, 7.0, 60.0}) {
    auto Issuer = PermitIssuer();
    auto Granted = std::vector<milliseconds>();
    // Requests come in bursts, with pauses in which permits gather.
    for (auto Time = 0ms; Time < 60s; Time += 5ms) {
      if ((Time / 3s) % 2 == 0 && Issuer.request(1, Limit, Start + Time).m_IsGranted) {
        Granted.push_back(Time);
      }
    }
    for (std::size_t First = 0; First < Granted.size(); ++First) {
      auto Last = First;
      while (Last < Granted.size() && Granted[Last] < Granted[First] + 4s) {
        ++Last;
      }
      cr_expect_leq(static_cast<double>(Last - First), 4.0 * Limit + std::max(2.0, Limit) + 1.0);
    }
    cr_expect_geq(static_cast<double>(Granted.size()), 0.9 * 30.0 * Limit);
  }
}

// Guards against a new keeper that gives out what its predecessor has given out a moment before.
Test(permits, issuerBeginsWithoutPermits) {
  auto Issuer = PermitIssuer();
  const auto First = Issuer.request(1, 2.0, Start);
  cr_expect_not(First.m_IsGranted);
  cr_expect_eq(First.m_RetryAfter.count(), 500);
  cr_expect(Issuer.request(1, 2.0, Start + 500ms).m_IsGranted);
  cr_expect_not(Issuer.request(1, 0.0, Start + 1h).m_IsGranted);
}

Test(permits, poolTakesEachPermitOnceAndNoneThatHasExpired) {
  auto Pool = PermitPool();
  Pool.add(1, Start);
  Pool.add(1, Start + 100ms);
  cr_expect(Pool.has(1, Start + 100ms));
  cr_expect_not(Pool.has(2, Start + 100ms));
  cr_expect(Pool.take(1, Start + 100ms));
  cr_expect(Pool.take(1, Start + 599ms));
  cr_expect_not(Pool.take(1, Start + 599ms));
  Pool.add(1, Start);
  cr_expect_not(Pool.has(1, Start + PermitPool::Validity));
  cr_expect_not(Pool.take(1, Start + PermitPool::Validity));
}
