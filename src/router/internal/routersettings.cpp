#include "router/routersettings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <limits>
#include <toml++/toml.h>
#include <vector>

namespace geraniumlift::router {

namespace {

using std::chrono::milliseconds;

auto invalidSetting(std::string_view Key, std::string_view Expected) -> absl::Status {
  return absl::InvalidArgumentError(fmt::format("settings: {}: expected {}", Key, Expected));
}

auto readString(const toml::table &Table, std::string_view Key, std::string &Out) -> absl::Status {
  const auto Value = Table.at_path(Key).value<std::string>();
  if (!Value || Value->empty()) {
    return invalidSetting(Key, "a non-empty string");
  }
  Out = *Value;
  return absl::OkStatus();
}

auto readAddress(const toml::table &Table, std::string_view Key, SocketAddress &Out)
    -> absl::Status {
  const auto Value = Table.at_path(Key).value<std::string>();
  auto Port = std::uint32_t{0};
  if (!Value) {
    return invalidSetting(Key, "IP:PORT");
  }
  const auto Parts = std::vector<std::string>(absl::StrSplit(*Value, ':'));
  if (Parts.size() != 2 || !absl::SimpleAtoi(Parts[1], &Port) || Port == 0 ||
      Port > std::numeric_limits<std::uint16_t>::max()) {
    return invalidSetting(Key, "IP:PORT");
  }
  Out = {Parts[0], static_cast<std::uint16_t>(Port)};
  return absl::OkStatus();
}

/// Finds a number, written as a TOML number or as a numeric string, since the templates that
/// fill in the file produce either.
auto findNumber(const toml::table &Table, std::string_view Key) -> std::optional<double> {
  if (const auto Value = Table.at_path(Key).value<double>()) {
    return Value;
  }
  auto Number = 0.0;
  const auto Text = Table.at_path(Key).value<std::string>();
  return Text && absl::SimpleAtod(*Text, &Number) ? std::optional(Number) : std::nullopt;
}

/// Reads a non-negative number. The output keeps its default if the key is missing or its string is
/// empty.
auto readNumber(const toml::table &Table, std::string_view Key, double &Out) -> absl::Status {
  const auto Node = Table.at_path(Key);
  if (!Node || Node.value_or(std::string("-")).empty()) {
    return absl::OkStatus();
  }
  const auto Value = findNumber(Table, Key);
  if (!Value || *Value < 0) {
    return invalidSetting(Key, "a non-negative number");
  }
  Out = *Value;
  return absl::OkStatus();
}

auto readSeconds(const toml::table &Table, std::string_view Key, milliseconds &Out)
    -> absl::Status {
  auto Seconds = std::chrono::duration<double>(Out).count();
  auto Status = readNumber(Table, Key, Seconds);
  Out = milliseconds(static_cast<std::int64_t>(Seconds * 1000.0));
  return Status;
}

auto readMilliseconds(const toml::table &Table, std::string_view Key, milliseconds &Out)
    -> absl::Status {
  auto Value = static_cast<double>(Out.count());
  auto Status = readNumber(Table, Key, Value);
  Out = milliseconds(static_cast<std::int64_t>(Value));
  return Status;
}

auto readCount(const toml::table &Table, std::string_view Key, std::int64_t &Out) -> absl::Status {
  auto Value = static_cast<double>(Out);
  auto Status = readNumber(Table, Key, Value);
  Out = static_cast<std::int64_t>(Value);
  return Status;
}

/// Reads the number of cores and the share of them that the process may use.
auto readCores(const toml::table &Table, double &Out) -> absl::Status {
  auto Share = 1.0;
  if (auto Status = readNumber(Table, "limits.cores", Out); !Status.ok()) {
    return Status;
  }
  auto Status = readNumber(Table, "limits.processor_share", Share);
  Out *= Share;
  return Status;
}

/// Reads the address for datagrams. The port is the first of the range that is open for traffic
/// between routers.
auto readPeers(const toml::table &Table, RouterSettings &Out) -> absl::Status {
  auto Ports = std::string();
  if (auto Status = readString(Table, "peers.ports", Ports); !Status.ok()) {
    return Status;
  }
  auto First = std::uint32_t{0};
  if (!absl::SimpleAtoi(Ports.substr(0, Ports.find(',')), &First) || First == 0 ||
      First > std::numeric_limits<std::uint16_t>::max()) {
    return invalidSetting("peers.ports", "FIRST,LAST");
  }
  Out.m_Peers.m_Port = static_cast<std::uint16_t>(First);
  return readString(Table, "peers.ip", Out.m_Peers.m_Ip);
}

/// Reads true or false. The output keeps its default if the key is missing.
auto readFlag(const toml::table &Table, std::string_view Key, bool &Out) -> absl::Status {
  const auto Node = Table.at_path(Key);
  if (!Node) {
    return absl::OkStatus();
  }
  const auto Value = Node.value_exact<bool>();
  if (!Value) {
    return invalidSetting(Key, "true or false");
  }
  Out = *Value;
  return absl::OkStatus();
}

/// Reads the regions by data centre; the table may be missing.
auto readRegions(const toml::table &Table, std::map<std::string, std::string> &Out)
    -> absl::Status {
  const auto Node = Table.at_path("regions");
  if (!Node) {
    return absl::OkStatus();
  }
  const auto *Regions = Node.as_table();
  if (Regions == nullptr) {
    return invalidSetting("regions", "a table");
  }
  for (const auto &[DataCentre, Value] : *Regions) {
    const auto Region = Value.value<std::string>();
    if (!Region || Region->empty()) {
      return invalidSetting(fmt::format("regions.{}", DataCentre.str()), "a non-empty string");
    }
    Out[std::string(DataCentre.str())] = *Region;
  }
  return absl::OkStatus();
}

} // namespace

auto readRouterSettings(const std::string &Text) -> absl::StatusOr<RouterSettings> {
  auto Table = toml::table();
  try {
    Table = toml::parse(Text);
  } catch (const toml::parse_error &Error) {
    return absl::InvalidArgumentError(
        fmt::format("settings: line {}: {}", Error.source().begin.line, Error.description()));
  }
  auto Result = RouterSettings();
  for (const auto &Status :
       {readString(Table, "vm", Result.m_Vm),
        readString(Table, "data_centre", Result.m_DataCentre),
        readAddress(Table, "callers.listen", Result.m_Callers),
        readAddress(Table, "readiness.listen", Result.m_Readiness),
        readAddress(Table, "directory.listen", Result.m_Directory),
        readAddress(Table, "store.address", Result.m_Store),
        readPeers(Table, Result),
        readCores(Table, Result.m_Cores),
        readNumber(Table, "limits.link_mbps", Result.m_LinkMbps),
        readCount(Table, "limits.memory_mb", Result.m_MemoryMb),
        readCount(Table, "limits.descriptors", Result.m_MaxDescriptors),
        readSeconds(Table, "stop.time_s", Result.m_StopTime),
        readSeconds(Table, "directory.time_to_live_s", Result.m_DirectoryTimeToLive),
        readMilliseconds(Table, "store.change_time_ms", Result.m_DrainTime),
        readMilliseconds(Table, "store.configuration_time_ms", Result.m_ConfigurationTime),
        readRegions(Table, Result.m_Regions),
        readMilliseconds(Table, "peers.contact_time_ms", Result.m_ContactTime),
        readFlag(Table, "targets.paced", Result.m_IsPaced),
        readNumber(Table, "cold_targets.overage", Result.m_ColdOverage),
        readNumber(Table, "cold_targets.slack", Result.m_ColdSlack),
        readNumber(Table, "retries.share", Result.m_RetryShare),
        readNumber(Table, "retries.slack", Result.m_RetrySlack)}) {
    if (!Status.ok()) {
      return Status;
    }
  }
  return Result;
}

} // namespace geraniumlift::router
