#include "geraniumctl/internal/recordaccess.h"

#include "geraniumctl/internal/await.h"
#include "geraniumctl/internal/retry.h"

namespace geraniumlift::geraniumctl::internal {

namespace {

using ReadResult = absl::StatusOr<std::optional<keyvalue::KeyValue>>;
using ListResult = absl::StatusOr<std::vector<keyvalue::KeyValue>>;

auto decodeStored(std::string Name, const keyvalue::KeyValue &Found)
    -> absl::StatusOr<StoredRecord> {
  auto Record = budget::decodeRecord(Found.m_Value);
  if (!Record.ok()) {
    return Record.status();
  }
  return StoredRecord{.m_Name = std::move(Name),
                      .m_Record = *std::move(Record),
                      .m_ModRevision = Found.m_ModRevision};
}

} // namespace

auto readRecord(const CommandContext &Context, const std::string &Name)
    -> absl::StatusOr<StoredRecord> {
  const auto Found = retryWhileUnreachable(Context, [&] {
    return await<ReadResult>(
        [&](auto Done) { Context.m_Store->read(budget::keyOfBudget(Name), Done); });
  });
  if (!Found.ok()) {
    return Found.status();
  }
  if (!Found->has_value()) {
    return StoredRecord{.m_Name = Name, .m_Record = {}};
  }
  return decodeStored(Name, **Found);
}

auto readAllRecords(const CommandContext &Context) -> absl::StatusOr<std::vector<StoredRecord>> {
  const auto Prefix = budget::keyOfBudget("");
  const auto Found = retryWhileUnreachable(Context, [&] {
    return await<ListResult>([&](auto Done) { Context.m_Store->list(Prefix, Done); });
  });
  if (!Found.ok()) {
    return Found.status();
  }
  auto Records = std::vector<StoredRecord>();
  for (const auto &Entry : *Found) {
    auto Stored = decodeStored(Entry.m_Key.substr(Prefix.size()), Entry);
    if (!Stored.ok()) {
      return Stored.status();
    }
    Records.push_back(*std::move(Stored));
  }
  return Records;
}

auto writeRecord(const CommandContext &Context, const StoredRecord &Stored)
    -> keyvalue::WriteResult {
  return await<keyvalue::WriteResult>([&](auto Done) {
    Context.m_Store->compareAndSwap({.m_Key = budget::keyOfBudget(Stored.m_Name),
                                     .m_ExpectedModRevision = Stored.m_ModRevision,
                                     .m_Value = budget::encodeRecord(Stored.m_Record)},
                                    Done);
  });
}

} // namespace geraniumlift::geraniumctl::internal
