#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace geraniumlift::keyvalue {

/// Time after which a call counts as failed unless the settings say otherwise. The service responds
/// in milliseconds when it is healthy.
inline constexpr auto DefaultCallTimeout = std::chrono::milliseconds{1000};

/// Where a service of the platform is reached.
struct PlatformEndpoint {
  /// Base URLs of equal servers, such as http://127.0.0.1:2379; at least one. The next one is used
  /// after a call failed.
  std::vector<std::string> m_BaseUrls;

  /// Limit on a whole call, from sending to the end of the response.
  std::chrono::milliseconds m_CallTimeout = DefaultCallTimeout;
};

} // namespace geraniumlift::keyvalue
