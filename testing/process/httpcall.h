#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace geraniumlift::testing {

/// The outcome of one HTTP request of a test.
struct HttpResult {
  /// 0 if the connection failed before an answer began.
  int m_Status = 0;
  std::string m_Body;

  /// Whether the connection failed after the answer had begun.
  bool m_Truncated = false;
  std::map<std::string, std::string> m_Headers;

  [[nodiscard]] auto contains(std::string_view Text) const -> bool {
    return m_Body.find(Text) != std::string::npos;
  }
};

/// A request to send; only what a test needs.
struct HttpCall {
  std::string m_Method = "GET";
  std::string m_Url;
  std::string m_Body = {};
  std::map<std::string, std::string> m_Headers = {};
  std::chrono::seconds m_Timeout{60};

  /// Called with each piece of the body as it arrives.
  std::function<void(const std::string &)> m_OnBytes = nullptr;
};

/// Sends a request on a fresh connection and waits for the whole answer.
auto sendHttp(const HttpCall &Request) -> HttpResult;

/// Repeats a condition until it holds; false if it does not within the timeout.
auto waitFor(const std::function<bool()> &Condition,
             std::chrono::seconds Timeout = std::chrono::seconds{60}) -> bool;

} // namespace geraniumlift::testing
