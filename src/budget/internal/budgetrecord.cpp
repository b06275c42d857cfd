#include "budget/budgetrecord.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace geraniumlift::budget {

namespace {

auto isTokenCount(Tokens Amount) -> bool { return Amount >= 0 && Amount <= MaxBudgetTokens; }

auto checkEntry(const HolderEntry &Entry) -> absl::Status {
  if (!isTokenCount(Entry.m_Granted) || !isTokenCount(Entry.m_Settled) ||
      Entry.m_Settled > Entry.m_Granted) {
    return absl::DataLossError(fmt::format("holder {}/{} settled {} of {} granted tokens",
                                           Entry.m_Holder.m_Vm, Entry.m_Holder.m_Incarnation,
                                           Entry.m_Settled, Entry.m_Granted));
  }
  return absl::OkStatus();
}

} // namespace

auto keyOfBudget(std::string_view Name) -> std::string {
  return fmt::format("geraniumlift/budget/{}", Name);
}

auto applyTopUp(BudgetRecord &Record, std::string_view Id, Tokens Amount)
    -> absl::StatusOr<TopUpOutcome> {
  if (Id.empty() || Id.size() > MaxTopUpIdBytes) {
    return absl::InvalidArgumentError(
        fmt::format("a top-up ID has 1 to {} bytes, not {}", MaxTopUpIdBytes, Id.size()));
  }
  if (Amount <= 0) {
    return absl::InvalidArgumentError(
        fmt::format("a top-up adds a positive number of tokens, not {}", Amount));
  }
  auto &Ids = Record.m_TopUpIds;
  if (std::find(Ids.begin(), Ids.end(), Id) != Ids.end()) {
    return TopUpOutcome::AlreadyApplied;
  }
  if (Amount > MaxBudgetTokens - Record.m_ToppedUp) {
    return absl::OutOfRangeError(
        fmt::format("a budget holds at most {} tokens in all", MaxBudgetTokens));
  }
  Record.m_ToppedUp += Amount;
  Ids.emplace_back(Id);
  if (Ids.size() > MaxRememberedTopUps) {
    Ids.erase(Ids.begin());
  }
  return TopUpOutcome::Added;
}

auto checkRecord(const BudgetRecord &Record) -> absl::Status {
  if (!isTokenCount(Record.m_ToppedUp) || !isTokenCount(Record.m_RetiredSettled)) {
    return absl::DataLossError("the budget record has a token count out of range");
  }
  auto Left = Record.m_ToppedUp - Record.m_RetiredSettled;
  auto Seen = std::set<base::HolderId>();
  for (const auto &Entry : Record.m_Holders) {
    if (auto Status = checkEntry(Entry); !Status.ok()) {
      return Status;
    }
    if (!Seen.insert(Entry.m_Holder).second) {
      return absl::DataLossError("the budget record has two entries for one holder");
    }
    Left -= Entry.m_Granted;
    if (Left < 0) {
      break;
    }
  }
  return Left < 0 ? absl::DataLossError("more tokens are granted than were topped up")
                  : absl::OkStatus();
}

auto freeTokens(const BudgetRecord &Record) -> Tokens {
  auto Left = Record.m_ToppedUp - Record.m_RetiredSettled;
  for (const auto &Entry : Record.m_Holders) {
    Left -= Entry.m_Granted;
  }
  return Left;
}

auto unsettledTokens(const BudgetRecord &Record) -> Tokens {
  auto Left = Record.m_ToppedUp - Record.m_RetiredSettled;
  for (const auto &Entry : Record.m_Holders) {
    Left -= Entry.m_Settled;
  }
  return Left;
}

auto findHolder(const BudgetRecord &Record, const base::HolderId &Holder) -> const HolderEntry * {
  const auto Found =
      std::find_if(Record.m_Holders.begin(), Record.m_Holders.end(),
                   [&](const HolderEntry &Entry) { return Entry.m_Holder == Holder; });
  return Found == Record.m_Holders.end() ? nullptr : &*Found;
}

} // namespace geraniumlift::budget
