#pragma once

#include "settings/settingstypes.h"

#include <string>
#include <vector>

namespace geraniumlift::daemon {

/// Checks that each strategy named in the settings exists, and returns an error for each that does
/// not. This is done here because the settings module does not depend on the modules that define
/// the strategies.
auto checkStrategyNames(const settings::Settings &Settings, const std::string &FileName)
    -> std::vector<settings::SettingsError>;

} // namespace geraniumlift::daemon
