#pragma once

#include "gateway/icallerexchange.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace geraniumlift::daemon {

/// Serves the operators' HTTP interface: dispatches GET requests by path to page handlers and
/// responds with 404 to everything else.
class OperatorHandler {
public:
  using RespondCallback = std::function<void(gateway::CallerResponse)>;

  /// Generates a page and passes it to the callback, possibly later and on another thread.
  using PageHandler = std::function<void(RespondCallback)>;

  /// Registers the handler of a path. All pages must be added before the first request.
  auto addPage(std::string Path, PageHandler Handler) -> void {
    m_Pages.emplace(std::move(Path), std::move(Handler));
  }

  auto handle(const std::shared_ptr<gateway::ICallerExchange> &Exchange) const -> void {
    const auto &Request = Exchange->request();
    const auto Found = m_Pages.find(Request.m_Path);
    if (Request.m_Method != "GET" || Found == m_Pages.end()) {
      Exchange->respond({404, "text/plain", "There is no such page.\n", {}});
      return;
    }
    Found->second(
        [Exchange](gateway::CallerResponse Answer) { Exchange->respond(std::move(Answer)); });
  }

private:
  std::map<std::string, PageHandler> m_Pages;
};

} // namespace geraniumlift::daemon
