#include "standins/collector/spanstore.h"

#include <algorithm>
#include <cpprest/json.h>
#include <fmt/format.h>

namespace geraniumlift::standins {

namespace {

auto text(const web::json::value &Json, const char *Field) -> std::string {
  return Json.has_string_field(Field) ? Json.at(Field).as_string() : std::string();
}

auto attribute(const web::json::value &Span, const std::string &Key) -> std::string {
  if (!Span.has_array_field("attributes")) {
    return {};
  }
  for (const auto &Row : Span.at("attributes").as_array()) {
    if (text(Row, "key") == Key) {
      return text(Row.at("value"), "stringValue");
    }
  }
  return {};
}

} // namespace

auto SpanStore::add(const std::string &OtlpJson) -> void {
  const auto Json = web::json::value::parse(OtlpJson);
  const auto Lock = std::lock_guard(m_Mutex);
  for (const auto &Resource : Json.at("resourceSpans").as_array()) {
    for (const auto &Scope : Resource.at("scopeSpans").as_array()) {
      for (const auto &Span : Scope.at("spans").as_array()) {
        const auto Parent = text(Span, "parentSpanId");
        m_Spans.push_back(
            {text(Span, "traceId"), text(Span, "startTimeUnixNano"),
             fmt::format("{:<16} span={} parent={} vm={}", text(Span, "name"), text(Span, "spanId"),
                         Parent.empty() ? "none" : Parent, attribute(Span, "geraniumlift.vm"))});
      }
    }
  }
}

auto SpanStore::list(const std::string &TraceId) const -> std::string {
  const auto Lock = std::lock_guard(m_Mutex);
  auto Sorted = m_Spans;
  std::stable_sort(Sorted.begin(), Sorted.end(), [](const auto &Left, const auto &Right) {
    return Left.m_StartNanoseconds < Right.m_StartNanoseconds;
  });
  auto Lines = std::string();
  for (const auto &Span : Sorted) {
    if (TraceId.empty() || Span.m_TraceId == TraceId) {
      Lines += Span.m_Line + "\n";
    }
  }
  return Lines;
}

} // namespace geraniumlift::standins
