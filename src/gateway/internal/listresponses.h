#pragma once

#include "gateway/gatewaytypes.h"

#include <chrono>
#include <map>

namespace geraniumlift::gateway {

/// Formats the answer to "which VM": addresses in order of preference and how long they may be
/// kept.
auto entryListResponse(const std::vector<EntryAddress> &Addresses,
                       std::chrono::milliseconds TimeToLive) -> CallerResponse;

/// Formats the list of models in the OpenAI-compatible form.
auto modelListResponse(const std::map<std::string, std::string> &PoolByModel) -> CallerResponse;

} // namespace geraniumlift::gateway
