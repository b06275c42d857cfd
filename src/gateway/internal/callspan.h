#pragma once

#include "base/iclock.h"
#include "telemetry/itracer.h"

namespace geraniumlift::gateway {

/// An open tracing span. It is recorded when finish() is called.
class CallSpan {
public:
  CallSpan(telemetry::ITracer &Tracer, const base::IClock &Clock, std::string Name,
           const std::optional<telemetry::TraceContext> &Parent)
      : m_Tracer(&Tracer), m_Clock(&Clock) {
    m_Span.m_Context = telemetry::newSpanContext(Parent);
    m_Span.m_ParentSpanId = Parent ? Parent->m_SpanId : std::string();
    m_Span.m_Name = std::move(Name);
    m_Span.m_Start = m_Clock->systemNow();
  }

  [[nodiscard]] auto context() const -> const telemetry::TraceContext & { return m_Span.m_Context; }

  auto attribute(std::string Key, std::string Value) -> void {
    m_Span.m_Attributes.push_back({std::move(Key), std::move(Value)});
  }

  auto finish(bool Ok) -> void {
    m_Span.m_Ok = Ok;
    m_Span.m_End = m_Clock->systemNow();
    m_Tracer->record(m_Span);
  }

private:
  telemetry::ITracer *m_Tracer;
  const base::IClock *m_Clock;
  telemetry::Span m_Span;
};

} // namespace geraniumlift::gateway
