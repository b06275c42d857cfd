#pragma once

#include "settings/settingstypes.h"

#include <string>
#include <vector>

namespace geraniumlift::daemon {

/// Checks that the settings name strategies that exist. The settings module does not know the
/// modules that have them.
auto checkStrategyNames(const settings::Settings &Settings, const std::string &FileName)
    -> std::vector<settings::SettingsError>;

} // namespace geraniumlift::daemon
