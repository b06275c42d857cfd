#include "telemetry/otlptracer.h"

#include "base/asioscheduler.h"
#include "telemetry/internal/otlpencoding.h"

#include <algorithm>
#include <cpprest/http_client.h>
#include <deque>
#include <iterator>
#include <mutex>
#include <utility>

namespace geraniumlift::telemetry {

namespace {

constexpr auto DroppedSpans = std::string_view{"geraniumlift_telemetry_dropped_spans_total"};

} // namespace

/// Buffers and sends spans. Continuations of HTTP requests hold weak pointers to it, as they may
/// run after the tracer is destroyed.
class OtlpTracer::Sender : public std::enable_shared_from_this<OtlpTracer::Sender> {
public:
  Sender(OtlpOptions Options, IMetrics &Metrics)
      : m_Options(std::move(Options)), m_Metrics(Metrics) {
    if (m_Options.m_CollectorUrl.empty()) {
      return;
    }
    auto Settings = web::http::client::http_client_config();
    Settings.set_timeout(m_Options.m_SendTimeout);
    Settings.set_max_redirects(0);
    m_Client = std::make_unique<web::http::client::http_client>(web::uri(m_Options.m_CollectorUrl),
                                                                Settings);
    m_Scheduler = std::make_unique<base::AsioScheduler>();
  }

  auto start() -> void {
    if (m_Client) {
      scheduleFlush();
    }
  }

  /// Joins the scheduler thread. The metrics are not used after this returns.
  auto stop() -> void {
    m_Scheduler.reset();
    const auto Lock = std::lock_guard(m_Mutex);
    m_Stopped = true;
  }

  auto add(Span Finished) -> void {
    if (!m_Client) {
      return;
    }
    const auto Lock = std::lock_guard(m_Mutex);
    if (m_Buffer.size() >= m_Options.m_BufferedSpans) {
      m_Metrics.count(DroppedSpans);
      return;
    }
    m_Buffer.push_back(std::move(Finished));
  }

private:
  auto scheduleFlush() -> void {
    m_Scheduler->after(m_Options.m_FlushInterval, [this] {
      flush();
      scheduleFlush();
    });
  }

  auto takeBatch() -> std::vector<Span> {
    const auto Lock = std::lock_guard(m_Mutex);
    if (m_IsSending) {
      return {};
    }
    const auto Count =
        static_cast<std::ptrdiff_t>(std::min(m_Buffer.size(), m_Options.m_BatchSpans));
    auto Batch = std::vector<Span>(std::make_move_iterator(m_Buffer.begin()),
                                   std::make_move_iterator(m_Buffer.begin() + Count));
    m_Buffer.erase(m_Buffer.begin(), m_Buffer.begin() + Count);
    m_IsSending = !Batch.empty();
    return Batch;
  }

  /// Sends one batch unless one is in flight. A successful batch starts the next one at once.
  auto flush() -> void {
    const auto Batch = takeBatch();
    if (Batch.empty()) {
      return;
    }
    try {
      auto Request = web::http::http_request("POST");
      Request.set_request_uri("/v1/traces");
      Request.set_body(encodeSpans({m_Options.m_ServiceName, m_Options.m_VmName}, Batch),
                       "application/json");
      m_Client->request(Request).then([Weak = weak_from_this(), Count = Batch.size()](
                                          const pplx::task<web::http::http_response> &Answer) {
        const auto Accepted = wasAccepted(Answer);
        if (const auto Self = Weak.lock()) {
          Self->handleBatchResult(Accepted, Count);
        }
      });
    } catch (const std::exception &) {
      handleBatchResult(false, Batch.size());
    }
  }

  static auto wasAccepted(const pplx::task<web::http::http_response> &Answer) -> bool {
    try {
      return Answer.get().status_code() == web::http::status_codes::OK;
    } catch (const std::exception &) {
      return false;
    }
  }

  auto handleBatchResult(bool Accepted, std::size_t Count) -> void {
    {
      const auto Lock = std::lock_guard(m_Mutex);
      m_IsSending = false;
      if (m_Stopped) {
        return;
      }
      if (!Accepted) {
        m_Metrics.count(DroppedSpans, {}, static_cast<double>(Count));
        return;
      }
    }
    flush();
  }

  OtlpOptions m_Options;
  IMetrics &m_Metrics;
  std::unique_ptr<web::http::client::http_client> m_Client;
  std::mutex m_Mutex;
  std::deque<Span> m_Buffer;
  bool m_IsSending = false;
  bool m_Stopped = false;

  /// Declared last, so that its thread is joined before the other members are destroyed.
  std::unique_ptr<base::AsioScheduler> m_Scheduler;
};

OtlpTracer::OtlpTracer(OtlpOptions Options, IMetrics &Metrics)
    : m_Sender(std::make_shared<Sender>(std::move(Options), Metrics)) {
  m_Sender->start();
}

OtlpTracer::~OtlpTracer() { m_Sender->stop(); }

auto OtlpTracer::record(Span Finished) -> void { m_Sender->add(std::move(Finished)); }

} // namespace geraniumlift::telemetry
