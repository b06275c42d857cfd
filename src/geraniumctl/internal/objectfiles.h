#pragma once

#include "geraniumctl/commandtypes.h"
#include "objects/objecttypes.h"

namespace geraniumlift::geraniumctl::internal {

/// Reads the files named by the arguments and validates them as one set. On errors, reports all of
/// them and returns nullopt.
auto readObjectFiles(CommandContext &Context) -> std::optional<objects::ObjectSet>;

/// Reports errors in object files, depending on the output format: as text lines on the error
/// stream or as JSON on the output stream.
auto reportObjectErrors(CommandContext &Context, const std::vector<objects::ObjectError> &Errors)
    -> void;

} // namespace geraniumlift::geraniumctl::internal
