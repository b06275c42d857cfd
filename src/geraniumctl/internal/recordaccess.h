#pragma once

#include "budget/budgetrecord.h"
#include "geraniumctl/commandtypes.h"

namespace geraniumlift::geraniumctl::internal {

/// A budget record as read from the store. A write must expect its revision, which is
/// AbsentRevision if the record does not exist.
struct StoredRecord {
  std::string m_Name;
  budget::BudgetRecord m_Record;
  std::int64_t m_ModRevision = keyvalue::AbsentRevision;
};

/// Reads the record of a budget, retrying while the service does not respond. Returns an empty
/// record if it does not exist.
auto readRecord(const CommandContext &Context, const std::string &Name)
    -> absl::StatusOr<StoredRecord>;

/// Reads the records of all budgets, sorted by name. Retries like readRecord.
auto readAllRecords(const CommandContext &Context) -> absl::StatusOr<std::vector<StoredRecord>>;

/// Writes a record by compare-and-swap against the revision at which it was read. Does not retry.
auto writeRecord(const CommandContext &Context, const StoredRecord &Stored)
    -> keyvalue::WriteResult;

} // namespace geraniumlift::geraniumctl::internal
