#pragma once

#include "gateway/gatewaytypes.h"

#include <chrono>
#include <map>

namespace geraniumlift::gateway {

/// Formats the response to GET /v1/entry: router addresses in order of preference and how long
/// callers may keep them.
auto entryListResponse(const std::vector<EntryAddress> &Addresses,
                       std::chrono::milliseconds TimeToLive) -> CallerResponse;

/// Formats the list of models in the OpenAI-compatible form.
auto modelListResponse(const std::map<std::string, std::string> &PoolByModel) -> CallerResponse;

} // namespace geraniumlift::gateway
