#pragma once

#include "budget/budgetrecord.h"
#include "geraniumctl/commandtypes.h"

namespace geraniumlift::geraniumctl::internal {

/// A budget's record as read, with the revision that a write must expect.
struct StoredRecord {
  std::string m_Name;
  budget::BudgetRecord m_Record;
  std::int64_t m_ModRevision = keyvalue::AbsentRevision;
};

/// Reads a budget's record, trying again while the service does not answer; an empty record if it
/// does not exist.
auto readRecord(const CommandContext &Context, const std::string &Name)
    -> absl::StatusOr<StoredRecord>;

/// Reads the records of all budgets, in order of names.
auto readAllRecords(const CommandContext &Context) -> absl::StatusOr<std::vector<StoredRecord>>;

/// Writes a record once against the revision at which it was read.
auto writeRecord(const CommandContext &Context, const StoredRecord &Stored)
    -> keyvalue::WriteResult;

} // namespace geraniumlift::geraniumctl::internal
