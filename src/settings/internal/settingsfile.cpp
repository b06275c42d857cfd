#include "settings/settingsfile.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <toml++/toml.h>
#include <variant>

namespace geraniumlift::settings {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t MinimumPeerKeyBytes = 16;
constexpr std::int64_t MaximumMilliseconds = 3'600'000;
constexpr std::int64_t MaximumCount = 1'000'000'000;
constexpr std::size_t MaximumNameBytes = 63;

/// Member of Settings that a key sets. Its type determines which type the file must hold.
using Member =
    std::variant<std::string Settings::*, std::int64_t Settings::*, milliseconds Settings::*,
                 std::vector<std::string> Settings::*, base::LogLevel Settings::*>;

enum class Presence { Required, Optional };

struct KeyRule {
  std::string_view m_Key;
  Member m_Member;
  Presence m_Presence = Presence::Optional;
};

const auto KeyRules = std::array{
    KeyRule{"vm", &Settings::m_Vm, Presence::Required},
    KeyRule{"data_centre", &Settings::m_DataCentre, Presence::Required},
    KeyRule{"callers.listen", &Settings::m_CallersListen, Presence::Required},
    KeyRule{"callers.advertise", &Settings::m_CallersAdvertise},
    KeyRule{"callers.entry_time_to_live_ms", &Settings::m_EntryTimeToLive},
    KeyRule{"callers.body_limit_bytes", &Settings::m_BodyLimitBytes},
    KeyRule{"callers.request_limit", &Settings::m_RequestLimit},
    KeyRule{"operators.listen", &Settings::m_OperatorsListen, Presence::Required},
    KeyRule{"peers.listen", &Settings::m_PeersListen, Presence::Required},
    KeyRule{"peers.seeds", &Settings::m_PeersSeeds},
    KeyRule{"peers.key", &Settings::m_PeersKey, Presence::Required},
    KeyRule{"platform.key_value_url", &Settings::m_KeyValueUrl, Presence::Required},
    KeyRule{"platform.vm_list_url", &Settings::m_VmListUrl, Presence::Required},
    KeyRule{"platform.call_timeout_ms", &Settings::m_PlatformCallTimeout},
    KeyRule{"platform.vm_list_interval_ms", &Settings::m_VmListInterval},
    KeyRule{"budget.commit_interval_ms", &Settings::m_CommitInterval},
    KeyRule{"budget.bill_hold_ms", &Settings::m_BillHold},
    KeyRule{"budget.grant_strategy", &Settings::m_GrantStrategy},
    KeyRule{"budget.expected_routers", &Settings::m_ExpectedRouters},
    KeyRule{"dispatch.target_strategy", &Settings::m_TargetStrategy},
    KeyRule{"dispatch.queue_strategy", &Settings::m_QueueStrategy},
    KeyRule{"dispatch.limit_strategy", &Settings::m_LimitStrategy},
    KeyRule{"targets.stream_progress_timeout_ms", &Settings::m_StreamProgressTimeout},
    KeyRule{"targets.load_interval_ms", &Settings::m_LoadInterval},
    KeyRule{"telemetry.trace_collector_url", &Settings::m_TraceCollector},
    KeyRule{"telemetry.log_level", &Settings::m_LogLevel},
};

/// Reads the settings from a parsed file and collects all errors.
class SettingsReader {
public:
  SettingsReader(const toml::table &Root, std::string FileName)
      : m_Root(Root), m_FileName(std::move(FileName)) {}

  auto read() -> SettingsResult {
    reportUnknownKeys(m_Root, "");
    for (const auto &Rule : KeyRules) {
      readKey(Rule);
    }
    checkValues();
    return std::move(m_Result);
  }

private:
  auto report(const toml::node *Node, std::string_view Key, std::string Message) -> void {
    const auto Line = Node == nullptr ? 0 : static_cast<std::int64_t>(Node->source().begin.line);
    m_Result.m_Errors.push_back({m_FileName, Line, std::string(Key), std::move(Message)});
  }

  static auto isKnown(const std::string &Path) -> bool {
    return std::any_of(KeyRules.begin(), KeyRules.end(), [&](const KeyRule &Rule) {
      return Rule.m_Key == Path || Rule.m_Key.starts_with(Path + ".");
    });
  }

  auto reportUnknownKeys(const toml::table &Table, const std::string &Prefix) -> void {
    for (const auto &[Key, Node] : Table) {
      const auto Path = Prefix + std::string(Key.str());
      if (!isKnown(Path)) {
        report(&Node, Path, "this key is unknown");
      } else if (const auto *Inner = Node.as_table()) {
        reportUnknownKeys(*Inner, Path + ".");
      }
    }
  }

  auto readKey(const KeyRule &Rule) -> void {
    const auto *Node = m_Root.at_path(Rule.m_Key).node();
    if (Node == nullptr) {
      if (Rule.m_Presence == Presence::Required) {
        report(nullptr, Rule.m_Key, "this key is required");
      }
      return;
    }
    std::visit([&](auto Destination) { readValue(*Node, Rule.m_Key, Destination); }, Rule.m_Member);
  }

  auto readValue(const toml::node &Node, std::string_view Key, std::string Settings::*Destination)
      -> void {
    if (const auto *Text = Node.as_string()) {
      m_Result.m_Settings.*Destination = Text->get();
    } else {
      report(&Node, Key, "the value must be a string");
    }
  }

  auto readValue(const toml::node &Node, std::string_view Key, std::int64_t Settings::*Destination)
      -> void {
    const auto *Number = Node.as_integer();
    if (Number == nullptr || Number->get() < 1 || Number->get() > MaximumCount) {
      report(&Node, Key,
             fmt::format("the value must be a whole number from 1 to {}", MaximumCount));
    } else {
      m_Result.m_Settings.*Destination = Number->get();
    }
  }

  auto readValue(const toml::node &Node, std::string_view Key, milliseconds Settings::*Destination)
      -> void {
    const auto *Number = Node.as_integer();
    if (Number == nullptr || Number->get() < 1 || Number->get() > MaximumMilliseconds) {
      report(&Node, Key,
             fmt::format("the value must be a whole number of milliseconds from 1 to {}",
                         MaximumMilliseconds));
    } else {
      m_Result.m_Settings.*Destination = milliseconds{Number->get()};
    }
  }

  auto readValue(const toml::node &Node, std::string_view Key,
                 std::vector<std::string> Settings::*Destination) -> void {
    const auto *Array = Node.as_array();
    if (Array == nullptr || (!Array->empty() && !Array->is_homogeneous<std::string>())) {
      report(&Node, Key, "the value must be an array of strings");
      return;
    }
    for (const auto &Element : *Array) {
      (m_Result.m_Settings.*Destination).push_back(Element.as_string()->get());
    }
  }

  auto readValue(const toml::node &Node, std::string_view Key,
                 base::LogLevel Settings::*Destination) -> void {
    const auto *Text = Node.as_string();
    const auto Level =
        Text == nullptr ? std::nullopt : base::valueOf(base::LogLevelNames, Text->get());
    if (!Level) {
      report(&Node, Key, "the value must be debug, info, warning or error");
    } else {
      m_Result.m_Settings.*Destination = *Level;
    }
  }

  auto checkValues() -> void {
    auto &Values = m_Result.m_Settings;
    checkName("vm", Values.m_Vm);
    checkName("data_centre", Values.m_DataCentre);
    checkAddress("peers.listen", Values.m_PeersListen);
    for (const auto &Seed : Values.m_PeersSeeds) {
      checkAddress("peers.seeds", Seed);
    }
    for (const auto Key :
         {"callers.listen", "operators.listen", "platform.key_value_url", "platform.vm_list_url",
          "callers.advertise", "telemetry.trace_collector_url"}) {
      checkUrl(Key);
    }
    if (!Values.m_PeersKey.empty() &&
        static_cast<std::int64_t>(Values.m_PeersKey.size()) < MinimumPeerKeyBytes) {
      reportAt("peers.key",
               fmt::format("the key must have at least {} bytes", MinimumPeerKeyBytes));
    }
    if (Values.m_CallersAdvertise.empty()) {
      Values.m_CallersAdvertise = Values.m_CallersListen;
    }
  }

  auto reportAt(std::string_view Key, std::string Message) -> void {
    report(m_Root.at_path(Key).node(), Key, std::move(Message));
  }

  auto checkName(std::string_view Key, const std::string &Name) -> void {
    const auto IsNameCharacter = [](char Character) {
      return absl::ascii_islower(static_cast<unsigned char>(Character)) ||
             absl::ascii_isdigit(static_cast<unsigned char>(Character)) || Character == '-';
    };
    if (Name.size() > MaximumNameBytes || !std::all_of(Name.begin(), Name.end(), IsNameCharacter)) {
      reportAt(Key, "a name has up to 63 characters of a-z, 0-9 and -");
    }
  }

  auto checkAddress(std::string_view Key, const std::string &Address) -> void {
    if (Address.empty()) {
      return;
    }
    const auto Parts = std::vector<std::string>(absl::StrSplit(Address, ':'));
    auto Port = 0;
    if (Parts.size() != 2 || Parts[0].empty() || !absl::SimpleAtoi(Parts[1], &Port) || Port < 1 ||
        Port > 65'535) {
      reportAt(Key, fmt::format("the address must be an IP address and a port, not {}", Address));
    }
  }

  auto checkUrl(std::string_view Key) -> void {
    const auto *Node = m_Root.at_path(Key).as_string();
    if (Node != nullptr && !Node->get().starts_with("http://")) {
      reportAt(Key, "the value must be a URL that begins with http://");
    }
  }

  const toml::table &m_Root;
  std::string m_FileName;
  SettingsResult m_Result;
};

} // namespace

auto parseSettings(std::string_view Text, const std::string &FileName) -> SettingsResult {
  try {
    const auto Root = toml::parse(Text, FileName);
    return SettingsReader(Root, FileName).read();
  } catch (const toml::parse_error &Error) {
    const auto Line = static_cast<std::int64_t>(Error.source().begin.line);
    return {{}, {{FileName, Line, "", std::string(Error.description())}}};
  }
}

auto readSettings(const std::string &FileName) -> SettingsResult {
  auto Stream = std::ifstream(FileName);
  if (!Stream) {
    return {{}, {{FileName, 0, "", "the file cannot be read"}}};
  }
  auto Text = std::ostringstream();
  Text << Stream.rdbuf();
  return parseSettings(Text.str(), FileName);
}

} // namespace geraniumlift::settings
