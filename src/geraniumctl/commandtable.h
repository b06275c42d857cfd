#pragma once

#include "geraniumctl/commandtypes.h"

#include <span>

namespace geraniumlift::geraniumctl {

/// All commands, in the order in which the help lists them.
auto commands() -> std::span<const Command>;

/// Finds the command named by the first one or two words; nullptr if there is none.
auto findCommand(const std::vector<std::string> &Words) -> const Command *;

/// Help text of the program: commands, flags, exit codes and examples.
auto programHelp() -> std::string;

/// Help text of one command.
auto commandHelp(const Command &Entry) -> std::string;

} // namespace geraniumlift::geraniumctl
