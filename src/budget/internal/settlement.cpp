#include "budget/internal/settlement.h"

#include "base/hashing.h"

#include <algorithm>
#include <unordered_map>

namespace geraniumlift::budget::internal {

namespace {

using BillIndex = std::unordered_map<std::string, std::size_t>;

auto indexBills(const std::vector<RecentBill> &Bills) -> BillIndex {
  auto Index = BillIndex();
  for (std::size_t At = 0; At < Bills.size(); ++At) {
    Index.emplace(Bills[At].m_RequestHash, At);
  }
  return Index;
}

auto chargeKeyedBill(BudgetRecord &Record, BillIndex &Index, const PendingBill &Bill,
                     std::int64_t NowUnixSeconds) -> SettledBill {
  const auto [At, IsNew] = Index.emplace(Bill.m_RequestHash, Record.m_RecentBills.size());
  if (IsNew) {
    Record.m_RecentBills.push_back({Bill.m_RequestHash, 0, 0});
  }
  auto &Remembered = Record.m_RecentBills[At->second];
  const auto AddsNothing = !IsNew && Remembered.m_Tokens >= Bill.m_Used;
  Remembered.m_Tokens = std::max(Remembered.m_Tokens, Bill.m_Used);
  Remembered.m_BilledAtSeconds = NowUnixSeconds;
  return {Bill.m_Reservation, AddsNothing ? BillOutcome::AlreadyBilled : BillOutcome::Settled};
}

auto removeOldBills(std::vector<RecentBill> &Bills, std::int64_t NowUnixSeconds) -> void {
  std::erase_if(Bills, [&](const RecentBill &Bill) {
    return Bill.m_BilledAtSeconds + BillRetention.count() < NowUnixSeconds;
  });
  if (Bills.size() > MaxRecentBills) {
    const auto Excess = static_cast<std::ptrdiff_t>(Bills.size() - MaxRecentBills);
    Bills.erase(Bills.begin(), Bills.begin() + Excess);
  }
}

auto totalTokens(const std::vector<RecentBill> &Bills) -> Tokens {
  Tokens Total = 0;
  for (const auto &Bill : Bills) {
    Total += Bill.m_Tokens;
  }
  return Total;
}

} // namespace

auto settleBills(BudgetRecord &Record, const std::vector<PendingBill> &Bills,
                 std::int64_t NowUnixSeconds, std::vector<SettledBill> &Settled) -> Tokens {
  const auto IsKeyed = [](const PendingBill &Bill) { return !Bill.m_RequestHash.empty(); };
  auto Index = std::any_of(Bills.begin(), Bills.end(), IsKeyed) ? indexBills(Record.m_RecentBills)
                                                                : BillIndex();
  const auto Before = totalTokens(Record.m_RecentBills);
  Tokens Charge = 0;
  for (const auto &Bill : Bills) {
    if (IsKeyed(Bill)) {
      Settled.push_back(chargeKeyedBill(Record, Index, Bill, NowUnixSeconds));
      continue;
    }
    Settled.push_back({Bill.m_Reservation, BillOutcome::Settled});
    Charge += Bill.m_Used;
  }
  Charge += totalTokens(Record.m_RecentBills) - Before;
  removeOldBills(Record.m_RecentBills, NowUnixSeconds);
  return Charge;
}

auto reclaimEntries(BudgetRecord &Record, const std::set<base::HolderId> &Gone) -> void {
  std::erase_if(Record.m_Holders, [&](const HolderEntry &Entry) {
    const auto IsGone = Gone.contains(Entry.m_Holder);
    Record.m_RetiredSettled += IsGone ? Entry.m_Settled : 0;
    return IsGone;
  });
}

auto hashOfRequest(std::string_view RequestId) -> std::string {
  constexpr std::size_t HashDigits = 32;
  return base::sha256Hex(RequestId).substr(0, HashDigits);
}

} // namespace geraniumlift::budget::internal
