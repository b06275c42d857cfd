#include "standins/service/serviceserver.h"

#include "base/log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cpprest/json.h>
#include <cpprest/uri.h>
#include <memory>
#include <thread>
#include <utility>

namespace geraniumlift::standins {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using web::json::value;

constexpr auto SilenceCheckInterval = std::chrono::seconds{1};

auto unsignedField(const value &Body, const std::string &Name) -> std::optional<std::uint64_t> {
  if (!Body.has_number_field(Name)) {
    return std::nullopt;
  }
  return Body.at(Name).as_number().to_uint64();
}

auto booleanField(const value &Body, const std::string &Name) -> std::optional<bool> {
  return Body.has_boolean_field(Name) ? std::optional(Body.at(Name).as_bool()) : std::nullopt;
}

auto controlFrom(const value &Body) -> ServiceControl {
  auto Control = ServiceControl();
  Control.m_DelayMs = unsignedField(Body, "delay_ms");
  Control.m_DieBeforeRead = unsignedField(Body, "die_before_read");
  Control.m_DieAfterRun = unsignedField(Body, "die_after_run");
  Control.m_SilenceOpenConnections = booleanField(Body, "silent").value_or(false);
  Control.m_Refuse = booleanField(Body, "refuse");
  Control.m_Leaving = booleanField(Body, "leaving");
  return Control;
}

auto countsJson(const ServiceCounts &Counts) -> std::string {
  auto ByKey = value::object();
  for (const auto &[Key, Count] : Counts.m_ByKey) {
    ByKey[Key] = value::number(Count);
  }
  auto Result = value::object();
  Result["by_key"] = ByKey;
  Result["total"] = value::number(Counts.m_Total);
  return Result.serialize();
}

auto makeResponse(const Request &Asked, http::status Status, std::string Body) -> Response {
  auto Result = Response(Status, Asked.version());
  Result.set(http::field::content_type, "application/json");
  Result.keep_alive(Asked.keep_alive());
  Result.body() = std::move(Body);
  Result.prepare_payload();
  return Result;
}

auto makeRefusal(const Request &Asked, bool Leaving) -> Response {
  auto Result = makeResponse(Asked, http::status::service_unavailable, "{}");
  Result.set("X-Not-Run", "true");
  if (Leaving) {
    Result.set("X-Leaving", "true");
  }
  return Result;
}

/// The answer repeats what arrived, so that tests can see which headers were passed on.
auto makeAnswer(const Request &Asked) -> Response {
  auto Body = value::object();
  Body["method"] = value::string(std::string(Asked.method_string()));
  Body["path"] = value::string(std::string(Asked.target()));
  Body["body_bytes"] = value::number(static_cast<std::uint64_t>(Asked.body().size()));
  for (const auto *Name : {"Idempotency-Key", "X-Request-Id", "X-Deadline-Ms", "traceparent"}) {
    Body["headers"][Name] = value::string(std::string(Asked[Name]));
  }
  return makeResponse(Asked, http::status::ok, Body.serialize());
}

/// Serves one connection on its own thread.
class Connection {
public:
  Connection(tcp::socket Socket, Service &Served)
      : m_Socket(std::move(Socket)), m_Service(Served), m_Epoch(Served.silenceEpoch()) {}

  auto run() -> void {
    auto Error = boost::system::error_code();
    while (!Error) {
      auto Asked = Request();
      http::read(m_Socket, m_Buffer, Asked, Error);
      if (!Error && !answer(Asked, Error)) {
        return;
      }
    }
  }

private:
  /// False if the connection is to be closed.
  auto answer(const Request &Asked, boost::system::error_code &Error) -> bool {
    if (Asked.target() == "/control") {
      return write(control(Asked), Error);
    }
    if (Asked.target() == "/counts") {
      return write(makeResponse(Asked, http::status::ok, countsJson(m_Service.counts())), Error);
    }
    const auto Action = m_Service.execute(Asked.method() == http::verb::post,
                                          std::string(Asked["Idempotency-Key"]));
    if (Action == ServiceAction::CloseWithoutAnswer) {
      return false;
    }
    if (Action != ServiceAction::Answer) {
      return send(makeRefusal(Asked, Action == ServiceAction::RefuseLeaving), Error);
    }
    std::this_thread::sleep_for(m_Service.delay());
    return send(makeAnswer(Asked), Error);
  }

  auto control(const Request &Asked) -> Response {
    try {
      m_Service.applyControl(controlFrom(value::parse(Asked.body())));
      return makeResponse(Asked, http::status::ok, "{}");
    } catch (const std::exception &) {
      return makeResponse(Asked, http::status::bad_request, R"({"error":"bad control"})");
    }
  }

  /// A silenced connection stays open and sends nothing any more.
  auto send(const Response &Answer, boost::system::error_code &Error) -> bool {
    while (m_Service.silenceEpoch() > m_Epoch) {
      std::this_thread::sleep_for(SilenceCheckInterval);
    }
    return write(Answer, Error);
  }

  auto write(const Response &Answer, boost::system::error_code &Error) -> bool {
    http::write(m_Socket, Answer, Error);
    return !Error && Answer.keep_alive();
  }

  tcp::socket m_Socket;
  Service &m_Service;
  std::uint64_t m_Epoch;
  boost::beast::flat_buffer m_Buffer;
};

auto runConnection(tcp::socket Socket, Service &Served) -> void {
  try {
    Connection(std::move(Socket), Served).run();
  } catch (const std::exception &Error) {
    base::logEvent(base::LogLevel::Warning, "connection_failed", {{"detail", Error.what()}});
  }
}

} // namespace

auto serveService(const std::string &Url, Service &Served) -> void {
  const auto Address = web::uri(Url);
  auto Context = boost::asio::io_context();
  auto Acceptor =
      tcp::acceptor(Context, tcp::endpoint(boost::asio::ip::make_address(Address.host()),
                                           static_cast<std::uint16_t>(Address.port())));
  while (true) {
    auto Socket = Acceptor.accept();
    if (Served.diesBeforeRead()) {
      continue;
    }
    Socket.set_option(tcp::no_delay(true));
    std::thread([Moved = std::move(Socket), &Served]() mutable {
      runConnection(std::move(Moved), Served);
    }).detach();
  }
}

} // namespace geraniumlift::standins
