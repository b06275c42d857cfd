#pragma once

#include "geraniumctl/commandtypes.h"

#include <span>

namespace geraniumlift::geraniumctl {

/// All commands, in the order of the help.
auto commands() -> std::span<const Command>;

/// The command that the first one or two words name; nullptr if there is none.
auto findCommand(const std::vector<std::string> &Words) -> const Command *;

/// Help on the program as a whole.
auto programHelp() -> std::string;

/// Help on one command.
auto commandHelp(const Command &Entry) -> std::string;

} // namespace geraniumlift::geraniumctl
