#include "router/routersettings.h"

#include <criterion/criterion.h>

using namespace geraniumlift::router;
using namespace std::chrono_literals;

namespace {

constexpr auto ValidSettings = R"(vm = "a-1"
data_centre = "a"
[callers]
listen = "10.0.0.1:80"
[readiness]
listen = "10.0.0.1:81"
[directory]
listen = "10.0.0.1:82"
[peers]
ip = "10.0.0.1"
ports = "7340,7355"
contact_time_ms = "4000"
[targets]
paced = true
[cold_targets]
overage = ""
slack = "7"
[regions]
"a" = "north"
"b" = "south"
[store]
address = "10.9.0.1:90"
change_time_ms = "3000"
configuration_time_ms = 2500
[limits]
cores = "2"
processor_share = 0.12
link_mbps = "12.5"
memory_mb = 260
descriptors = ""
[stop]
time_s = "8.5"
)";

/// The valid settings with one substring replaced.
auto withReplaced(const std::string &Old, const std::string &New) -> std::string {
  auto Text = std::string(ValidSettings);
  return Text.replace(Text.find(Old), Old.size(), New);
}

} // namespace

Test(routersettings, numbersAndNumericStringsAreAccepted) {
  const auto Settings = readRouterSettings(ValidSettings);
  cr_assert(Settings.ok(), "%s", std::string(Settings.status().message()).c_str());
  cr_expect_eq(Settings->m_Peers.m_Port, 7340);
  cr_expect_eq(Settings->m_StopTime.count(), 8500);
  cr_expect_eq(Settings->m_DrainTime.count(), 3000);
  cr_expect_eq(Settings->m_ConfigurationTime.count(), 2500);
  cr_expect_eq(Settings->m_MemoryMb, 260);
  cr_expect_float_eq(Settings->m_Cores, 0.24, 1e-9);
  cr_expect_float_eq(Settings->m_LinkMbps, 12.5, 1e-9);
  cr_expect_eq(Settings->m_MaxDescriptors, RouterSettings().m_MaxDescriptors);
  cr_expect_eq(Settings->m_ContactTime.count(), 4000);
  cr_expect(Settings->m_IsPaced);
  cr_expect_float_eq(Settings->m_ColdOverage, 1.5, 1e-9);
  cr_expect_float_eq(Settings->m_ColdSlack, 7.0, 1e-9);
  cr_expect_eq(Settings->m_Regions.at("b"), "south");
}

Test(routersettings, errorsNameTheInvalidKey) {
  const auto ErrorNames = [](const std::string &Text, const std::string &Key) {
    const auto Settings = readRouterSettings(Text);
    return !Settings.ok() &&
           std::string(Settings.status().message()).find(Key) != std::string::npos;
  };
  cr_expect(ErrorNames(withReplaced("vm = \"a-1\"", ""), "vm"));
  cr_expect(ErrorNames(withReplaced("10.0.0.1:80", "10.0.0.1"), "callers.listen"));
  cr_expect(ErrorNames(withReplaced("10.9.0.1:90", "10.9.0.1:99999"), "store.address"));
  cr_expect(ErrorNames(withReplaced("0.12", "\"some\""), "limits.processor_share"));
  cr_expect(ErrorNames(withReplaced("\"2\"", "-2"), "limits.cores"));
  cr_expect(ErrorNames(withReplaced("7340,7355", "none"), "peers.ports"));
  cr_expect(ErrorNames(withReplaced("\"8.5\"", "-1"), "stop.time_s"));
  cr_expect(ErrorNames(withReplaced("\"8.5\"", "\"soon\""), "stop.time_s"));
  cr_expect(ErrorNames(withReplaced("[stop]", "[stop"), "line"));
  cr_expect(ErrorNames(withReplaced("\"south\"", "7"), "regions.b"));
  cr_expect(ErrorNames(withReplaced("paced = true", "paced = \"sometimes\""), "targets.paced"));
}
