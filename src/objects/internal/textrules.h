#pragma once

#include <string_view>

namespace geraniumlift::objects::internal {

/// A rule for the text of a field. Returns the error message, or an empty text if the rule holds.
using TextRule = auto(*)(std::string_view Text) -> std::string_view;

/// Accepts any text of at most 256 bytes.
auto checkAnyText(std::string_view Text) -> std::string_view;

/// Names of objects and data centres: 1 to 63 characters of [a-z0-9-].
auto checkName(std::string_view Text) -> std::string_view;

/// Names of models: 1 to 128 characters of [A-Za-z0-9._:/-].
auto checkModelName(std::string_view Text) -> std::string_view;

/// Names of VMs: empty, or up to 128 characters of [A-Za-z0-9._-].
auto checkVmName(std::string_view Text) -> std::string_view;

/// SHA-256 as 64 lower-case hexadecimal digits.
auto checkKeyHash(std::string_view Text) -> std::string_view;

/// http://ADDRESS:PORT with an IPv4 address or an IPv6 address in brackets, and no path.
auto checkTargetUrl(std::string_view Text) -> std::string_view;

} // namespace geraniumlift::objects::internal
