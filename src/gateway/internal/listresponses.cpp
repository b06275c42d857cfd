#include "gateway/internal/listresponses.h"

#include <cpprest/json.h>

namespace geraniumlift::gateway {

auto entryListResponse(const std::vector<EntryAddress> &Addresses,
                       std::chrono::milliseconds TimeToLive) -> CallerResponse {
  auto List = std::vector<web::json::value>();
  for (const auto &Address : Addresses) {
    auto Entry = web::json::value::object();
    Entry["url"] = web::json::value(Address.m_Url);
    Entry["data_centre"] = web::json::value(Address.m_DataCentre);
    List.push_back(std::move(Entry));
  }
  auto Json = web::json::value::object();
  Json["addresses"] = web::json::value::array(List);
  const auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(TimeToLive);
  Json["ttl_seconds"] = web::json::value(static_cast<std::int64_t>(Seconds.count()));
  return {200, "application/json", Json.serialize(), {}};
}

auto modelListResponse(const std::map<std::string, std::string> &PoolByModel) -> CallerResponse {
  auto List = std::vector<web::json::value>();
  for (const auto &Row : PoolByModel) {
    auto Model = web::json::value::object();
    Model["id"] = web::json::value(Row.first);
    Model["object"] = web::json::value("model");
    List.push_back(std::move(Model));
  }
  auto Json = web::json::value::object();
  Json["object"] = web::json::value("list");
  Json["data"] = web::json::value::array(List);
  return {200, "application/json", Json.serialize(), {}};
}

} // namespace geraniumlift::gateway
