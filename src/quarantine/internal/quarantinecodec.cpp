#include "quarantine/quarantinetypes.h"

#include "base/boundedread.h"
#include "base/shallowjson.h"

#include <cereal/archives/json.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <fmt/format.h>
#include <sstream>

namespace geraniumlift::quarantine {

namespace {

/// Limit on the length of each list in an update. Updates are far shorter, so more entries mean
/// that the bytes are not an update.
constexpr auto MaxEntries = std::size_t{1024};

using InputArchive = cereal::PortableBinaryInputArchive;
using OutputArchive = cereal::PortableBinaryOutputArchive;

} // namespace

template <typename Archive>
auto save(Archive &Data, const ReportedSuspect &Item) -> void {
  Data(Item.m_Suspect.m_Crash, Item.m_Suspect.m_Workspace, Item.m_Suspect.m_Parts, Item.m_AgeMs);
}

template <typename Archive>
auto load(Archive &Data, ReportedSuspect &Item) -> void {
  Data(Item.m_Suspect.m_Crash, Item.m_Suspect.m_Workspace);
  base::readEntries(Data, Item.m_Suspect.m_Parts, MaxEntries);
  Data(Item.m_AgeMs);
}

template <typename Archive>
auto serialize(Archive &Data, ReportedAnswer &Item) -> void {
  Data(Item.m_Part, Item.m_AgeMs);
}

template <typename Archive>
auto serialize(Archive &Data, ReportedQuarantine &Item) -> void {
  Data(Item.m_Key.m_Part, Item.m_Key.m_Workspace, Item.m_Terms, Item.m_AgeMs, Item.m_LeftMs);
}

auto encodeUpdate(const QuarantineUpdate &Update) -> std::string {
  auto Bytes = std::ostringstream();
  auto Data = OutputArchive(Bytes);
  Data(Update.m_Router, Update.m_Suspects, Update.m_Answers, Update.m_Quarantines);
  return Bytes.str();
}

auto decodeUpdate(std::string_view Bytes) -> absl::StatusOr<QuarantineUpdate> {
  try {
    auto Stream = std::istringstream(std::string(Bytes));
    auto Data = InputArchive(Stream);
    auto Update = QuarantineUpdate();
    base::readText(Data, Update.m_Router, Bytes.size());
    base::readEntries(Data, Update.m_Suspects, MaxEntries);
    base::readEntries(Data, Update.m_Answers, MaxEntries);
    base::readEntries(Data, Update.m_Quarantines, MaxEntries);
    return Update;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

auto recordKey(const PartKey &Key) -> std::string {
  return fmt::format("{}{:016x}-{:016x}", QuarantinePrefix, Key.m_Part, Key.m_Workspace);
}

auto encodeRecord(const QuarantineRecord &Record) -> std::string {
  auto Text = std::ostringstream();
  {
    auto Archive = cereal::JSONOutputArchive(Text, cereal::JSONOutputArchive::Options::NoIndent());
    Archive(cereal::make_nvp("part", Record.m_Key.m_Part),
            cereal::make_nvp("workspace", Record.m_Key.m_Workspace),
            cereal::make_nvp("terms", Record.m_Terms),
            cereal::make_nvp("length_ms", static_cast<std::int64_t>(Record.m_Length.count())));
  }
  return Text.str();
}

auto decodeRecord(std::string_view Text) -> absl::StatusOr<QuarantineRecord> {
  if (!base::isShallowJson(Text)) {
    return absl::InvalidArgumentError("the JSON of the quarantine is nested too deeply");
  }
  try {
    auto Stream = std::istringstream(std::string(Text));
    auto Archive = cereal::JSONInputArchive(Stream);
    auto Record = QuarantineRecord();
    auto LengthMs = std::int64_t{0};
    Archive(cereal::make_nvp("part", Record.m_Key.m_Part),
            cereal::make_nvp("workspace", Record.m_Key.m_Workspace),
            cereal::make_nvp("terms", Record.m_Terms), cereal::make_nvp("length_ms", LengthMs));
    if (LengthMs <= 0 || Record.m_Terms == 0) {
      return absl::InvalidArgumentError("length_ms and terms must be positive");
    }
    Record.m_Length = std::chrono::milliseconds(LengthMs);
    return Record;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace geraniumlift::quarantine
