#include "telemetry/internal/otlpencoding.h"

#include "telemetry/internal/metrictext.h"

#include <cpprest/json.h>

namespace geraniumlift::telemetry {

namespace {

using web::json::value;

/// Values of the OTLP protobuf enumerations SpanKind and StatusCode.
constexpr auto KindInternal = 1;
constexpr auto StatusOk = 1;
constexpr auto StatusError = 2;

auto encodeText(std::string_view Text) -> value { return value::string(printableAscii(Text)); }

auto encodeAttribute(const SpanAttribute &Attribute) -> value {
  auto Result = value::object();
  Result["key"] = encodeText(Attribute.m_Key);
  Result["value"]["stringValue"] = encodeText(Attribute.m_Value);
  return Result;
}

auto encodeAttributes(const std::vector<SpanAttribute> &Rows) -> value {
  auto Result = value::array(Rows.size());
  for (std::size_t At = 0; At < Rows.size(); ++At) {
    Result[At] = encodeAttribute(Rows[At]);
  }
  return Result;
}

auto encodeTime(base::SystemTime Time) -> value {
  const auto SinceEpoch =
      std::chrono::duration_cast<std::chrono::nanoseconds>(Time.time_since_epoch());
  return value::string(std::to_string(SinceEpoch.count()));
}

auto encodeSpan(const Span &Finished) -> value {
  auto Result = value::object();
  Result["traceId"] = encodeText(Finished.m_Context.m_TraceId);
  Result["spanId"] = encodeText(Finished.m_Context.m_SpanId);
  if (!Finished.m_ParentSpanId.empty()) {
    Result["parentSpanId"] = encodeText(Finished.m_ParentSpanId);
  }
  Result["name"] = encodeText(Finished.m_Name);
  Result["kind"] = value::number(KindInternal);
  Result["startTimeUnixNano"] = encodeTime(Finished.m_Start);
  Result["endTimeUnixNano"] = encodeTime(Finished.m_End);
  Result["attributes"] = encodeAttributes(Finished.m_Attributes);
  Result["status"]["code"] = value::number(Finished.m_Ok ? StatusOk : StatusError);
  return Result;
}

} // namespace

auto encodeSpans(const OtlpResource &Resource, const std::vector<Span> &Spans) -> std::string {
  auto Scope = value::object();
  Scope["scope"]["name"] = value::string("geraniumlift");
  Scope["spans"] = value::array(Spans.size());
  for (std::size_t At = 0; At < Spans.size(); ++At) {
    Scope["spans"][At] = encodeSpan(Spans[At]);
  }
  auto ResourceSpans = value::object();
  ResourceSpans["resource"]["attributes"] = encodeAttributes(
      {{"service.name", Resource.m_ServiceName}, {"host.name", Resource.m_VmName}});
  ResourceSpans["scopeSpans"][0] = Scope;
  auto Request = value::object();
  Request["resourceSpans"][0] = ResourceSpans;
  return Request.serialize();
}

} // namespace geraniumlift::telemetry
