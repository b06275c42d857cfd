#pragma once

#include "geraniumctl/commandtypes.h"

namespace geraniumlift::geraniumctl::internal {

/// Entry points of the commands. The table in commandtable.cpp describes each of them.
auto runCheck(CommandContext &Context) -> ExitCode;
auto runDiff(CommandContext &Context) -> ExitCode;
auto runPublish(CommandContext &Context) -> ExitCode;
auto runShow(CommandContext &Context) -> ExitCode;
auto runTopUp(CommandContext &Context) -> ExitCode;
auto runBudgetShow(CommandContext &Context) -> ExitCode;
auto runBudgetList(CommandContext &Context) -> ExitCode;
auto runFleet(CommandContext &Context) -> ExitCode;
auto runHashKey(CommandContext &Context) -> ExitCode;
auto runVersion(CommandContext &Context) -> ExitCode;

} // namespace geraniumlift::geraniumctl::internal
