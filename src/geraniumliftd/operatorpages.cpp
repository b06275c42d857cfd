#include "geraniumliftd/operatorpages.h"

#include <cpprest/json.h>

namespace geraniumlift::daemon {

namespace {

auto plainText(std::int64_t Status, std::string Text) -> gateway::CallerResponse {
  return {Status, "text/plain; version=0.0.4", std::move(Text), {}};
}

auto renderReadiness(const OperatorPageSources &Sources) -> gateway::CallerResponse {
  if (Sources.m_Draining) {
    return plainText(503, "draining\n");
  }
  // The gateway gets a snapshot later than the configuration service; until then it knows no key.
  if (Sources.m_Gateway.generationInForce() == 0) {
    return plainText(503, "no configuration was adopted yet\n");
  }
  return plainText(200, "ready\n");
}

auto renderMetrics(const OperatorPageSources &Sources) -> gateway::CallerResponse {
  auto Text = Sources.m_Metrics.render();
  Text += "# TYPE geraniumlift_platform_calls_total counter\n";
  const auto Append = [&](const char *Service, const std::vector<keyvalue::CallCount> &Counts) {
    for (const auto &Count : Counts) {
      Text +=
          fmt::format("geraniumlift_platform_calls_total{{kind=\"{}\",service=\"{}\"}} {}\n",
                      base::nameOf(keyvalue::CallKindNames, Count.m_Kind), Service, Count.m_Calls);
    }
  };
  Append("key_value", Sources.m_KeyValues.counts());
  Append("vm_list", Sources.m_VmList.counts());
  const auto Traffic = Sources.m_Peers.traffic();
  Text += fmt::format("# TYPE geraniumlift_peer_bytes_total counter\n"
                      "geraniumlift_peer_bytes_total{{direction=\"sent\"}} {}\n"
                      "geraniumlift_peer_bytes_total{{direction=\"received\"}} {}\n"
                      "# TYPE geraniumlift_peer_rejected_total counter\n"
                      "geraniumlift_peer_rejected_total{{reason=\"unauthenticated\"}} {}\n"
                      "geraniumlift_peer_rejected_total{{reason=\"malformed\"}} {}\n",
                      Traffic.m_BytesSent, Traffic.m_BytesReceived, Traffic.m_Unauthenticated,
                      Traffic.m_Malformed);
  Text += fmt::format("# TYPE geraniumlift_configuration_generation gauge\n"
                      "geraniumlift_configuration_generation {}\n",
                      Sources.m_Configuration.current()->m_Generation);
  return plainText(200, std::move(Text));
}

auto routersJson(const PeerNetwork &Peers) -> web::json::value {
  auto Rows = std::vector<web::json::value>();
  for (const auto &Router : Peers.routerStatuses()) {
    auto Row = web::json::value::object();
    Row["vm"] = web::json::value(Router.m_Holder.m_Vm);
    Row["incarnation"] = web::json::value(Router.m_Holder.m_Incarnation);
    Row["data_centre"] = web::json::value(Router.m_DataCentre);
    Row["state"] = web::json::value(Router.m_State);
    Row["url"] = web::json::value(Router.m_Url);
    Row["generation"] = web::json::value(Router.m_Generation);
    Rows.push_back(std::move(Row));
  }
  return web::json::value::array(Rows);
}

auto targetsJson(const configuration::Snapshot &Snapshot) -> web::json::value {
  auto Rows = std::vector<web::json::value>();
  for (const auto &[Name, Target] : Snapshot.m_Objects.m_Targets) {
    auto Row = web::json::value::object();
    Row["name"] = web::json::value(Name);
    Row["pool"] = web::json::value(Target.m_Pool);
    Row["data_centre"] = web::json::value(Target.m_DataCentre);
    Row["url"] = web::json::value(Target.m_Url);
    Row["state"] = web::json::value(Target.m_Leaving ? "leaving" : "active");
    Rows.push_back(std::move(Row));
  }
  return web::json::value::array(Rows);
}

auto renderFleet(const OperatorPageSources &Sources) -> gateway::CallerResponse {
  const auto Snapshot = Sources.m_Configuration.current();
  auto Json = web::json::value::object();
  Json["generation"] = web::json::value(Snapshot->m_Generation);
  Json["routers"] = routersJson(Sources.m_Peers);
  Json["targets"] = targetsJson(*Snapshot);
  return {200, "application/json", Json.serialize(), {}};
}

auto renderBudgets(const std::vector<budget::BudgetView> &Views) -> gateway::CallerResponse {
  auto Rows = std::vector<web::json::value>();
  for (const auto &View : Views) {
    auto Row = web::json::value::object();
    Row["budget"] = web::json::value(View.m_Budget);
    Row["topped_up"] = web::json::value(View.m_ToppedUp);
    Row["settled"] = web::json::value(View.m_Settled);
    Row["outstanding"] = web::json::value(View.m_Outstanding);
    Row["allowance"] = web::json::value(View.m_Allowance);
    Row["reserved"] = web::json::value(View.m_Reserved);
    Rows.push_back(std::move(Row));
  }
  auto Json = web::json::value::object();
  Json["budgets"] = web::json::value::array(Rows);
  return {200, "application/json", Json.serialize(), {}};
}

} // namespace

auto addOperatorPages(OperatorHandler &Handler, OperatorPageSources Sources) -> void {
  Handler.addPage("/healthz", [](const auto &Respond) { Respond(plainText(200, "ok\n")); });
  Handler.addPage("/readyz", [Sources](const auto &Respond) { Respond(renderReadiness(Sources)); });
  Handler.addPage("/metrics", [Sources](const auto &Respond) { Respond(renderMetrics(Sources)); });
  Handler.addPage("/fleet", [Sources](const auto &Respond) { Respond(renderFleet(Sources)); });
  Handler.addPage("/budgets", [Sources](const auto &Respond) {
    Sources.m_Budgets.views(
        [Respond](const std::vector<budget::BudgetView> &Views) { Respond(renderBudgets(Views)); });
  });
}

} // namespace geraniumlift::daemon
