#pragma once

#include "client.h"
#include "memorymonitor.h"

#include <functional>

namespace geraniumlift::review {

/// What a crowd of clients that are not under control sends to the only router.
struct CrowdPlan {
  int m_Channels = 0;

  /// The request that each client sends; none without it.
  std::function<std::string(int)> m_Request;

  /// Bytes that each client sends behind its request, as far as the channel takes them.
  std::function<std::string(int)> m_Surplus;
};

/// Plays ordinary clients, then the crowd beside them, with one router and a platform that ends it
/// when it exceeds its memory. Returns the script's exit code for the rule LOST.
auto playCrowd(const RunOptions &Options, const CrowdPlan &Plan, Record &Log) -> int;

} // namespace geraniumlift::review
