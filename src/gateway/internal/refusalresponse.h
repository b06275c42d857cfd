#pragma once

#include "base/refusal.h"
#include "gateway/gatewaytypes.h"

namespace geraniumlift::gateway {

/// Formats a refusal as application/problem+json with its HTTP status and Retry-After.
auto refusalResponse(const base::Refusal &Refusal, const std::string &Workspace,
                     const base::RequestId &RequestId) -> CallerResponse;

/// Formats a refusal as one server-sent event, for a stream that has already begun.
auto refusalEvent(const base::Refusal &Refusal, const std::string &Workspace,
                  const base::RequestId &RequestId) -> std::string;

} // namespace geraniumlift::gateway
