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
  using Respond = std::function<void(gateway::CallerResponse)>;

  /// Produces a page and passes it on, possibly later and on another thread.
  using Page = std::function<void(Respond)>;

  auto addPage(std::string Path, Page Produce) -> void {
    m_Pages.emplace(std::move(Path), std::move(Produce));
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
  std::map<std::string, Page> m_Pages;
};

} // namespace geraniumlift::daemon
