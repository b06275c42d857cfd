#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace geraniumlift::keyvalue {

/// Time after which a call counts as failed unless the settings say otherwise. The service responds
/// in milliseconds when it is healthy.
inline constexpr auto DefaultCallTimeout = std::chrono::milliseconds{1000};

/// Base URLs and call timeout of a platform service.
struct PlatformEndpoint {
  /// Base URLs of interchangeable servers, such as http://127.0.0.1:2379; at least one. After a
  /// call that times out or finds its server unavailable, later calls use the next one.
  std::vector<std::string> m_BaseUrls;

  /// Limit on a whole call, from sending to the end of the response.
  std::chrono::milliseconds m_CallTimeout = DefaultCallTimeout;
};

} // namespace geraniumlift::keyvalue
