#pragma once

#include "settings/settingstypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::settings {

/// Result of reading a settings file. The settings may be used only if there are no errors.
struct SettingsResult {
  Settings m_Settings;
  std::vector<SettingsError> m_Errors;
};

/// Parses and checks the text of a settings file and reports every error in it, or only the first
/// one if the text is not valid TOML. The file name is used in the errors only.
auto parseSettings(std::string_view Text, const std::string &FileName) -> SettingsResult;

/// Reads and parses a settings file. An unreadable file is reported as an error.
auto readSettings(const std::string &FileName) -> SettingsResult;

} // namespace geraniumlift::settings
