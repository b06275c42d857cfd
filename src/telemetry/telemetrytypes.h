#pragma once

#include "base/iclock.h"

#include <string>
#include <vector>

namespace geraniumlift::telemetry {

/// W3C trace context of one span.
struct TraceContext {
  /// 32 lower-case hexadecimal digits.
  std::string m_TraceId;

  /// 16 lower-case hexadecimal digits.
  std::string m_SpanId;
};

struct SpanAttribute {
  std::string m_Key;
  std::string m_Value;
};

/// A finished operation of one process, as part of a trace.
struct Span {
  TraceContext m_Context;

  /// Empty for a root span.
  std::string m_ParentSpanId;
  std::string m_Name;
  base::SystemTime m_Start;
  base::SystemTime m_End;
  bool m_Ok = true;
  std::vector<SpanAttribute> m_Attributes;
};

/// A label of a metric, such as code="budget_exhausted".
struct Label {
  std::string m_Key;
  std::string m_Value;
};

} // namespace geraniumlift::telemetry
