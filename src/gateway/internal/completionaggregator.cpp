#include "gateway/internal/completionaggregator.h"

#include "base/log.h"

#include <cpprest/json.h>

namespace geraniumlift::gateway {

auto CompletionAggregator::add(const std::string &EventJson) -> void {
  try {
    const auto Json = web::json::value::parse(EventJson);
    if (!Json.has_array_field("choices") || Json.at("choices").size() == 0) {
      return;
    }
    const auto &Choice = Json.at("choices").at(0);
    if (Choice.has_object_field("delta") && Choice.at("delta").has_string_field("content")) {
      m_Text += Choice.at("delta").at("content").as_string();
    }
    if (Choice.has_string_field("finish_reason")) {
      m_FinishReason = Choice.at("finish_reason").as_string();
    }
  } catch (const std::exception &Error) {
    base::logEvent(base::LogLevel::Warning, "engine_event_malformed", {{"error", Error.what()}});
  }
}

auto CompletionAggregator::finish(const base::RequestId &RequestId, const std::string &Model,
                                  const targets::Usage &Usage) const -> std::string {
  auto Message = web::json::value::object();
  Message["role"] = web::json::value("assistant");
  Message["content"] = web::json::value(m_Text);
  auto Choice = web::json::value::object();
  Choice["index"] = web::json::value(0);
  Choice["message"] = Message;
  Choice["finish_reason"] = web::json::value(m_FinishReason);
  auto UsageJson = web::json::value::object();
  UsageJson["prompt_tokens"] = web::json::value(Usage.m_PromptTokens);
  UsageJson["completion_tokens"] = web::json::value(Usage.m_CompletionTokens);
  UsageJson["total_tokens"] = web::json::value(Usage.m_PromptTokens + Usage.m_CompletionTokens);
  auto Json = web::json::value::object();
  Json["id"] = web::json::value(RequestId);
  Json["object"] = web::json::value("chat.completion");
  Json["model"] = web::json::value(Model);
  Json["choices"] = web::json::value::array({Choice});
  Json["usage"] = UsageJson;
  return Json.serialize();
}

} // namespace geraniumlift::gateway
