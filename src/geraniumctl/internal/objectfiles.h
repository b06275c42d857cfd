#pragma once

#include "geraniumctl/commandtypes.h"
#include "objects/objecttypes.h"

namespace geraniumlift::geraniumctl::internal {

/// Reads the files that the arguments name and checks them as one set. Reports every mistake;
/// nothing is returned if there is one.
auto readObjectFiles(CommandContext &Context) -> std::optional<objects::ObjectSet>;

/// Reports mistakes: as lines on the error stream, or as JSON on the output.
auto reportObjectErrors(CommandContext &Context, const std::vector<objects::ObjectError> &Errors)
    -> void;

} // namespace geraniumlift::geraniumctl::internal
