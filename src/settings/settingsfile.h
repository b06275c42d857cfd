#pragma once

#include "settings/settingstypes.h"

#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::settings {

/// Settings read from a file, usable only if there are no errors.
struct SettingsResult {
  Settings m_Settings;
  std::vector<SettingsError> m_Errors;
};

/// Parses and checks the text of a settings file and reports every mistake in it. The file's name
/// is used in the errors only.
auto parseSettings(std::string_view Text, const std::string &FileName) -> SettingsResult;

/// Reads and parses a settings file.
auto readSettings(const std::string &FileName) -> SettingsResult;

} // namespace geraniumlift::settings
