#include "settings/settingsfile.h"

#include <criterion/criterion.h>

using namespace geraniumlift;

namespace {

constexpr auto MinimalFile = R"(vm = "entry-1"
data_centre = "swansea-a"
[callers]
listen = "http://127.0.0.1:8101"
[operators]
listen = "http://127.0.0.1:8201"
[peers]
listen = "127.0.0.1:7101"
key = "0123456789abcdef"
[platform]
key_value_url = "http://127.0.0.1:2379"
vm_list_url = "http://127.0.0.1:2379"
)";

} // namespace

// Guards against rejecting a file with only the required keys, and against lost defaults.
Test(settings, minimalFileHasDefaults) {
  const auto Result = settings::parseSettings(MinimalFile, "router.toml");
  cr_assert(Result.m_Errors.empty());
  cr_assert_eq(Result.m_Settings.m_CallersAdvertise, std::string("http://127.0.0.1:8101"));
  cr_assert(Result.m_Settings.m_CommitInterval == std::chrono::milliseconds{50});
}

// Guards against a check that stops at the first error or reports the wrong line.
Test(settings, everyErrorIsReportedWithItsLine) {
  const auto Text = std::string(MinimalFile) + "call_timeout_ms = \"fast\"\nunknown_key = 1\n";
  const auto Result = settings::parseSettings(Text, "router.toml");
  cr_assert_eq(Result.m_Errors.size(), 2U);
  cr_assert_eq(Result.m_Errors[0].m_Key, std::string("platform.unknown_key"));
  cr_assert_eq(Result.m_Errors[0].m_Line, 14);
  cr_assert_eq(Result.m_Errors[1].m_Key, std::string("platform.call_timeout_ms"));
  cr_assert_eq(Result.m_Errors[1].m_Line, 13);
}

// Guards against accepting a file that lacks required keys.
Test(settings, emptyFileNamesEveryRequiredKey) {
  cr_assert_eq(settings::parseSettings("", "router.toml").m_Errors.size(), 8U);
}

// Guards against an uncaught exception on malformed TOML.
Test(settings, syntaxErrorIsReported) {
  const auto Result = settings::parseSettings("vm = [", "router.toml");
  cr_assert_eq(Result.m_Errors.size(), 1U);
  cr_assert_eq(Result.m_Errors[0].m_Line, 1);
}
