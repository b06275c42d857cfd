#pragma once

#include "gateway/icallerexchange.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace geraniumlift::daemon {

/// Answers the operators' HTTP interface from a table of pages.
class OperatorHandler {
public:
  using RespondCallback = std::function<void(gateway::CallerAnswer)>;

  /// Produces a page and passes it on, possibly later and on another thread.
  using PageHandler = std::function<void(RespondCallback)>;

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
        [Exchange](gateway::CallerAnswer Answer) { Exchange->respond(std::move(Answer)); });
  }

private:
  std::map<std::string, PageHandler> m_Pages;
};

} // namespace geraniumlift::daemon
