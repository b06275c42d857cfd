#include "standins/engine/engineserver.h"

#include "base/hashing.h"
#include "base/log.h"
#include "standins/engine/eventformat.h"
#include "standins/engine/reply.h"

#include <array>
#include <atomic>
#include <cpprest/http_listener.h>
#include <cpprest/json.h>
#include <cpprest/producerconsumerstream.h>
#include <utility>

namespace geraniumlift::standins {

namespace {

using web::http::http_request;
using web::http::http_response;
using web::json::value;

constexpr auto RequestsPrefix = std::string_view{"/v1/requests/"};
constexpr auto StreamSuffix = std::string_view{"/stream"};

/// A connection that sends its bytes through a buffer which the listener drains chunk by chunk.
class BufferSink final : public IEventSink {
public:
  auto send(const std::string &Bytes) -> bool override {
    if (m_Gone) {
      return false;
    }
    m_Buffer.putn_nocopy(reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size());
    m_Buffer.sync();
    return true;
  }

  auto close() -> void override { m_Buffer.close(std::ios_base::out); }

  /// Answers the request with the bytes that are sent from now on.
  static auto reply(const std::shared_ptr<BufferSink> &Sink, const http_request &Request) -> void {
    auto Response = http_response(web::http::status_codes::OK);
    Response.set_body(Sink->m_Buffer.create_istream(), "text/event-stream");
    Request.reply(Response).then([Sink](const pplx::task<void> &Sent) {
      try {
        Sent.get();
      } catch (const std::exception &) {
        Sink->m_Gone = true;
      }
    });
  }

private:
  concurrency::streams::producer_consumer_buffer<std::uint8_t> m_Buffer;
  std::atomic<bool> m_Gone = false;
};

auto replyJson(const http_request &Request, const std::string &Text,
               web::http::status_code Status = web::http::status_codes::OK) -> void {
  auto Response = http_response(Status);
  Response.set_body(Text, "application/json");
  replyAndForget(Request, Response);
}

auto replyRefusal(const http_request &Request, bool Leaving) -> void {
  auto Response = http_response(web::http::status_codes::ServiceUnavailable);
  Response.headers().add("X-Not-Run", "true");
  if (Leaving) {
    Response.headers().add("X-Leaving", "true");
  }
  replyAndForget(Request, Response);
}

auto integerField(const value &Body, const std::string &Name) -> std::optional<std::int64_t> {
  if (!Body.has_number_field(Name)) {
    return std::nullopt;
  }
  return Body.at(Name).as_number().to_int64();
}

auto unsignedField(const value &Body, const std::string &Name) -> std::optional<std::uint64_t> {
  const auto Number = integerField(Body, Name);
  return Number && *Number >= 0 ? std::optional<std::uint64_t>(*Number) : std::nullopt;
}

auto booleanField(const value &Body, const std::string &Name) -> std::optional<bool> {
  return Body.has_boolean_field(Name) ? std::optional(Body.at(Name).as_bool()) : std::nullopt;
}

auto headerOr(const http_request &Request, const std::string &Name, const std::string &Otherwise)
    -> std::string {
  const auto Found = Request.headers().find(Name);
  return Found == Request.headers().end() ? Otherwise : Found->second;
}

auto controlFrom(const value &Body) -> EngineControl {
  auto Control = EngineControl();
  Control.m_TimeToFirstTokenMs = integerField(Body, "ttft_ms");
  Control.m_TimeBetweenTokensMs = integerField(Body, "token_ms");
  if (Body.has_number_field("slow_factor")) {
    Control.m_SlowFactor = Body.at("slow_factor").as_double();
  }
  Control.m_SilenceOpenConnections = booleanField(Body, "silent").value_or(false);
  Control.m_CutAfterEvents = unsignedField(Body, "cut_after_events");
  Control.m_Crossed = booleanField(Body, "crossed");
  Control.m_CrossedEvents = unsignedField(Body, "crossed_events");
  Control.m_Refuse = booleanField(Body, "refuse");
  Control.m_Leaving = booleanField(Body, "leaving");
  return Control;
}

auto engineRequestFrom(const http_request &Request, const value &Body) -> EngineRequest {
  auto Result = EngineRequest();
  Result.m_Id = headerOr(Request, "X-Request-Id", "");
  if (Result.m_Id.empty()) {
    Result.m_Id = base::randomHex(8);
  }
  Result.m_MaxTokens = unsignedField(Body, "max_tokens").value_or(Result.m_MaxTokens);
  Result.m_WantedTokens = unsignedField(Body, "x_tokens");
  if (Body.has_field("messages")) {
    // A token covers four bytes of the prompt here; routers may count on at least one byte.
    Result.m_PromptTokens = Body.at("messages").serialize().size() / 4 + 1;
  }
  return Result;
}

auto countsJson(const EngineCounts &Counts) -> std::string {
  auto ById = value::object();
  for (const auto &[Id, Count] : Counts.m_ById) {
    ById[Id] = value::number(Count);
  }
  auto Result = value::object();
  Result["by_request"] = ById;
  Result["total"] = value::number(Counts.m_Total);
  Result["cancelled"] = value::number(Counts.m_Cancelled);
  Result["resumed"] = value::number(Counts.m_Resumed);
  return Result.serialize();
}

auto loadJson(const EngineLoadReport &Report) -> std::string {
  return fmt::format(R"({{"running":{},"waiting":{},"age_ms":{},"leaving":{}}})", Report.m_Running,
                     Report.m_Waiting, Report.m_Age.count(), Report.m_Leaving);
}

auto ordersJson(const OrderState &Orders) -> std::string {
  return fmt::format(R"({{"fencing":{},"order":{},"accepted":{},"refused":{}}})", Orders.m_Fencing,
                     Orders.m_Order, Orders.m_Accepted, Orders.m_Refused);
}

auto modelsJson(const std::vector<std::string> &Models) -> std::string {
  auto Rows = std::string();
  for (const auto &Model : Models) {
    Rows += fmt::format(R"({}{{"id":{},"object":"model"}})", Rows.empty() ? "" : ",",
                        jsonQuoted(Model));
  }
  return R"({"object":"list","data":[)" + Rows + "]}";
}

} // namespace

class EngineServer::Implementation {
public:
  Implementation(const std::string &Url, Engine &Served, base::IScheduler &Scheduler)
      : m_Engine(Served), m_Scheduler(Scheduler), m_Listener(web::uri(Url)) {
    m_Listener.support([this](const http_request &Request) { handle(Request); });
    m_Listener.open().wait();
  }

  ~Implementation() {
    try {
      m_Listener.close().wait();
    } catch (const std::exception &Error) {
      base::logEvent(base::LogLevel::Warning, "close_failed", {{"detail", Error.what()}});
    }
  }

private:
  using Handler = void (Implementation::*)(const http_request &, const value &);

  /// A path, or the start of one if it ends in a slash, with its method and handler.
  struct Route {
    std::string_view m_Method;
    std::string_view m_Path;
    Handler m_Handler;
  };

  static constexpr auto routes() {
    return std::array{
        Route{"POST", "/v1/chat/completions", &Implementation::complete},
        Route{"GET", RequestsPrefix, &Implementation::resume},
        Route{"DELETE", RequestsPrefix, &Implementation::cancel},
        Route{"GET", "/v1/models", &Implementation::listModels},
        Route{"GET", "/load", &Implementation::showLoad},
        Route{"GET", "/counts", &Implementation::showCounts},
        Route{"GET", "/orders", &Implementation::showOrders},
        Route{"PUT", "/orders", &Implementation::takeOrder},
        Route{"POST", "/control", &Implementation::control},
    };
  }

  static auto matches(const Route &Candidate, const std::string &Method, const std::string &Path)
      -> bool {
    const auto IsPrefix = Candidate.m_Path.ends_with('/');
    return Candidate.m_Method == Method &&
           (IsPrefix ? Path.starts_with(Candidate.m_Path) : Path == Candidate.m_Path);
  }

  auto handle(const http_request &Request) -> void {
    const auto Path = Request.relative_uri().path();
    for (const auto &Candidate : routes()) {
      if (matches(Candidate, Request.method(), Path)) {
        readBodyAndRun(Request, Candidate.m_Handler);
        return;
      }
    }
    replyJson(Request, R"({"error":"no such path"})", web::http::status_codes::NotFound);
  }

  auto readBodyAndRun(http_request Request, Handler Run) -> void {
    Request.extract_string(true).then([this, Request, Run](const pplx::task<std::string> &Read) {
      try {
        const auto Text = Read.get();
        const auto Body = Text.empty() ? value::object() : value::parse(Text);
        m_Scheduler.post([this, Request, Run, Body] { runSafely(Request, Run, Body); });
      } catch (const std::exception &) {
        replyJson(Request, R"({"error":"the body is not JSON"})",
                  web::http::status_codes::BadRequest);
      }
    });
  }

  auto runSafely(const http_request &Request, Handler Run, const value &Body) -> void {
    try {
      (this->*Run)(Request, Body);
    } catch (const std::exception &Error) {
      replyJson(Request, R"({"error":"bad field"})", web::http::status_codes::BadRequest);
      base::logEvent(base::LogLevel::Warning, "bad_request", {{"detail", Error.what()}});
    }
  }

  auto complete(const http_request &Request, const value &Body) -> void {
    if (!booleanField(Body, "stream").value_or(false)) {
      replyJson(Request, R"({"error":"only streams are supported"})",
                web::http::status_codes::BadRequest);
      return;
    }
    const auto Sink = std::make_shared<BufferSink>();
    const auto Result = m_Engine.submit(engineRequestFrom(Request, Body), Sink);
    if (Result == Admission::Accepted) {
      BufferSink::reply(Sink, Request);
      return;
    }
    replyRefusal(Request, Result == Admission::Leaving);
  }

  auto resume(const http_request &Request, const value & /*Body*/) -> void {
    const auto Path = web::uri::decode(Request.relative_uri().path());
    const auto Query = web::uri::split_query(Request.relative_uri().query());
    const auto Offset = Query.contains("offset") ? std::stoull(Query.at("offset")) : 0;
    const auto Sink = std::make_shared<BufferSink>();
    if (!Path.ends_with(StreamSuffix) ||
        !m_Engine.resume(Path.substr(RequestsPrefix.size(),
                                     Path.size() - RequestsPrefix.size() - StreamSuffix.size()),
                         Offset, Sink)) {
      replyJson(Request, R"({"error":"no such request"})", web::http::status_codes::NotFound);
      return;
    }
    BufferSink::reply(Sink, Request);
  }

  auto cancel(const http_request &Request, const value & /*Body*/) -> void {
    const auto Path = web::uri::decode(Request.relative_uri().path());
    const auto Known = m_Engine.cancel(Path.substr(RequestsPrefix.size()));
    replyJson(Request, "{}",
              Known ? web::http::status_codes::OK : web::http::status_codes::NotFound);
  }

  auto listModels(const http_request &Request, const value & /*Body*/) -> void {
    replyJson(Request, modelsJson(m_Engine.models()));
  }

  auto showLoad(const http_request &Request, const value & /*Body*/) -> void {
    replyJson(Request, loadJson(m_Engine.load()));
  }

  auto showCounts(const http_request &Request, const value & /*Body*/) -> void {
    replyJson(Request, countsJson(m_Engine.counts()));
  }

  auto showOrders(const http_request &Request, const value & /*Body*/) -> void {
    replyJson(Request, ordersJson(m_Engine.orders()));
  }

  auto takeOrder(const http_request &Request, const value &Body) -> void {
    const auto Accepted =
        m_Engine.takeOrder(integerField(Body, "fencing").value_or(0), Body.at("order").serialize());
    replyJson(Request, ordersJson(m_Engine.orders()),
              Accepted ? web::http::status_codes::OK : web::http::status_codes::Conflict);
  }

  auto control(const http_request &Request, const value &Body) -> void {
    m_Engine.applyControl(controlFrom(Body));
    replyJson(Request, "{}");
  }

  Engine &m_Engine;
  base::IScheduler &m_Scheduler;
  web::http::experimental::listener::http_listener m_Listener;
};

EngineServer::EngineServer(const std::string &Url, Engine &Served, base::IScheduler &Scheduler)
    : m_Implementation(std::make_unique<Implementation>(Url, Served, Scheduler)) {}

EngineServer::~EngineServer() = default;

} // namespace geraniumlift::standins
