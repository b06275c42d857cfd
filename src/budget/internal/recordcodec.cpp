#include "budget/internal/recordcodec.h"

#include "base/shallowjson.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <fmt/format.h>
#include <sstream>

namespace geraniumlift::budget {

template <typename Archive>
auto serialize(Archive &Data, HolderEntry &Entry) -> void {
  Data(cereal::make_nvp("vm", Entry.m_Holder.m_Vm),
       cereal::make_nvp("incarnation", Entry.m_Holder.m_Incarnation),
       cereal::make_nvp("granted", Entry.m_Granted), cereal::make_nvp("settled", Entry.m_Settled),
       cereal::make_nvp("sequence", Entry.m_Sequence));
}

namespace internal {

namespace {

/// Reads or writes the fields of the record, with the recent bills in packed form.
template <typename Archive>
auto serializeFields(Archive &Data, BudgetRecord &Record, std::string &PackedBills) -> void {
  Data(cereal::make_nvp("topped_up", Record.m_ToppedUp),
       cereal::make_nvp("top_ups", Record.m_TopUpIds),
       cereal::make_nvp("retired_settled", Record.m_RetiredSettled),
       cereal::make_nvp("holders", Record.m_Holders),
       cereal::make_nvp("recent_bills", PackedBills));
}

auto unpackBill(absl::string_view Text) -> std::optional<RecentBill> {
  const auto Parts = std::vector<absl::string_view>(absl::StrSplit(Text, '.'));
  auto Bill = RecentBill();
  if (Parts.size() != 3 || !absl::SimpleHexAtoi(Parts[1], &Bill.m_Tokens) ||
      !absl::SimpleHexAtoi(Parts[2], &Bill.m_BilledAtSeconds)) {
    return std::nullopt;
  }
  Bill.m_RequestHash = std::string(Parts[0]);
  return Bill;
}

} // namespace

auto packBills(const std::vector<RecentBill> &Bills) -> std::string {
  auto Text = std::string();
  for (const auto &Bill : Bills) {
    fmt::format_to(std::back_inserter(Text), "{}.{:x}.{:x};", Bill.m_RequestHash, Bill.m_Tokens,
                   Bill.m_BilledAtSeconds);
  }
  return Text;
}

auto unpackBills(std::string_view Text) -> std::optional<std::vector<RecentBill>> {
  auto Bills = std::vector<RecentBill>();
  const auto Packed = absl::string_view(Text.data(), Text.size());
  for (const auto Part : absl::StrSplit(Packed, ';', absl::SkipEmpty())) {
    auto Bill = unpackBill(Part);
    if (!Bill) {
      return std::nullopt;
    }
    Bills.push_back(std::move(*Bill));
  }
  return Bills;
}

} // namespace internal

auto encodeRecord(const BudgetRecord &Record) -> std::string {
  auto Copy = Record;
  auto PackedBills = internal::packBills(Record.m_RecentBills);
  auto Text = std::ostringstream();
  {
    auto Data = cereal::JSONOutputArchive(Text, cereal::JSONOutputArchive::Options::NoIndent());
    internal::serializeFields(Data, Copy, PackedBills);
  }
  return Text.str();
}

auto decodeRecord(std::string_view Text) -> absl::StatusOr<BudgetRecord> {
  if (!base::isShallowJson(Text)) {
    return absl::InvalidArgumentError("the JSON of the budget record is nested too deeply");
  }
  auto Record = BudgetRecord();
  auto PackedBills = std::string();
  try {
    auto Input = std::istringstream(std::string(Text));
    auto Data = cereal::JSONInputArchive(Input);
    internal::serializeFields(Data, Record, PackedBills);
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(
        fmt::format("cannot parse the budget record: {}", Error.what()));
  }
  auto Bills = internal::unpackBills(PackedBills);
  if (!Bills) {
    return absl::InvalidArgumentError("the recent bills of the budget record are malformed");
  }
  Record.m_RecentBills = std::move(*Bills);
  if (auto Status = checkRecord(Record); !Status.ok()) {
    return Status;
  }
  return Record;
}

} // namespace geraniumlift::budget
