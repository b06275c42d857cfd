#include "telemetry/internal/otlpencoding.h"
#include "telemetry/memorytracer.h"
#include "telemetry/metrics.h"
#include "telemetry/otlptracer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <condition_variable>
#include <cpprest/http_listener.h>
#include <cpprest/json.h>
#include <criterion/criterion.h>
#include <functional>
#include <thread>

using namespace geraniumlift::telemetry;

namespace {

constexpr auto WaitLimit = std::chrono::seconds{20};

auto freeUrl() -> std::string {
  using boost::asio::ip::tcp;
  auto Context = boost::asio::io_context();
  const auto Loopback = tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0);
  return "http://127.0.0.1:" +
         std::to_string(tcp::acceptor(Context, Loopback).local_endpoint().port());
}

auto makeSpan(const std::string &Name) -> Span {
  return {newSpanContext(std::nullopt), "", Name, {}, {}, true, {}};
}

/// Counts the spans that arrive in OTLP requests.
class Collector {
public:
  explicit Collector(const std::string &Url) : m_Listener(web::uri(Url)) {
    m_Listener.support("POST", [this](const web::http::http_request &Request) {
      const auto Body = Request.extract_json().get();
      const auto Path = Request.relative_uri().path();
      Request.reply(web::http::status_codes::OK, web::json::value::object());
      const auto Lock = std::lock_guard(m_Mutex);
      m_Spans += Path == "/v1/traces"
                     ? Body.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").size()
                     : 0;
      m_Changed.notify_all();
    });
    m_Listener.open().wait();
  }
  ~Collector() { m_Listener.close().wait(); }

  auto waitForSpans(std::size_t Count) -> bool {
    auto Lock = std::unique_lock(m_Mutex);
    return m_Changed.wait_for(Lock, WaitLimit, [&] { return m_Spans >= Count; });
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::size_t m_Spans = 0;
  web::http::experimental::listener::http_listener m_Listener;
};

auto waitForText(const Metrics &Collected, const std::string &Text) -> bool {
  const auto Limit = std::chrono::steady_clock::now() + WaitLimit;
  while (Collected.render().find(Text) == std::string::npos) {
    if (std::chrono::steady_clock::now() > Limit) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  return true;
}

} // namespace

// Guards against a request that collectors reject because of wrong field names, or of numbers where
// OTLP JSON requires strings.
Test(otlp, encodesProtobufJsonNames) {
  auto Failed = Span{{"0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"},
                     "00f067aa0ba902b7",
                     "call \"x\"\xff",
                     geraniumlift::base::SystemTime(std::chrono::seconds{1}),
                     geraniumlift::base::SystemTime(std::chrono::seconds{2}),
                     false,
                     {{"workspace", "ward"}}};
  const auto Request = web::json::value::parse(encodeSpans({"geraniumliftd", "vm1"}, {Failed}));
  const auto &Encoded = Request.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").at(0);
  cr_assert_eq(Encoded.at("traceId").as_string(), Failed.m_Context.m_TraceId);
  cr_assert_eq(Encoded.at("parentSpanId").as_string(), Failed.m_ParentSpanId);
  cr_assert_eq(Encoded.at("name").as_string(), std::string("call \"x\"?"));
  cr_assert_eq(Encoded.at("startTimeUnixNano").as_string(), std::string("1000000000"));
  cr_assert_eq(Encoded.at("endTimeUnixNano").as_string(), std::string("2000000000"));
  cr_assert_eq(Encoded.at("status").at("code").as_integer(), 2);
  cr_assert_eq(Encoded.at("attributes").at(0).at("value").at("stringValue").as_string(),
               std::string("ward"));
}

// Guards against spans that stay in the buffer when there are more than fit into one batch.
Test(otlp, sendsAllBatchesInOneInterval) {
  const auto Url = freeUrl();
  auto Receiver = Collector(Url);
  auto Collected = Metrics();
  auto Tracer = OtlpTracer(
      {.m_CollectorUrl = Url, .m_BatchSpans = 4, .m_FlushInterval = std::chrono::milliseconds{50}},
      Collected);
  for (auto Count = 0; Count < 10; ++Count) {
    Tracer.record(makeSpan("s"));
  }
  cr_assert(Receiver.waitForSpans(10));
}

// Guards against an unreachable collector that makes the buffer grow or blocks callers.
Test(otlp, dropsAndCountsSpansWhileCollectorIsUnreachable) {
  auto Collected = Metrics();
  auto Tracer = OtlpTracer({.m_CollectorUrl = freeUrl(),
                            .m_BufferedSpans = 5,
                            .m_FlushInterval = std::chrono::milliseconds{200}},
                           Collected);
  for (auto Count = 0; Count < 7; ++Count) {
    Tracer.record(makeSpan("s"));
  }
  cr_assert(waitForText(Collected, "dropped_spans_total 2"));
  cr_assert(waitForText(Collected, "dropped_spans_total 7"));
}

// Guards against spans that are buffered or counted as dropped when no collector is configured.
Test(otlp, discardsSpansWithoutCollector) {
  auto Collected = Metrics();
  auto Tracer = OtlpTracer({.m_BufferedSpans = 1}, Collected);
  Tracer.record(makeSpan("a"));
  Tracer.record(makeSpan("b"));
  cr_assert(Collected.render().find("dropped_spans_total") == std::string::npos);
  auto Kept = MemoryTracer();
  Kept.record(makeSpan("a"));
  cr_assert_eq(Kept.spans().size(), 1U);
}
