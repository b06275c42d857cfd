#include "standins/collector/spanstore.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cpprest/http_listener.h>
#include <csignal>
#include <fmt/format.h>

ABSL_FLAG(std::string, listen, "http://127.0.0.1:4318", "URL to listen on");

namespace {

using geraniumlift::standins::SpanStore;

auto handlePost(SpanStore &Store, web::http::http_request Request) -> void {
  Request.extract_string(true).then([&Store, Request](const pplx::task<std::string> &Body) {
    try {
      Store.add(Body.get());
      Request.reply(web::http::status_codes::OK, "{}", "application/json");
    } catch (const std::exception &Error) {
      Request.reply(web::http::status_codes::BadRequest, Error.what());
    }
  });
}

auto handleGet(const SpanStore &Store, const web::http::http_request &Request) -> void {
  const auto Query = web::uri::split_query(Request.relative_uri().query());
  const auto Trace = Query.find("trace");
  Request.reply(web::http::status_codes::OK,
                Store.list(Trace == Query.end() ? std::string() : Trace->second));
}

} // namespace

auto main(int Argc, char **Argv) -> int {
  absl::ParseCommandLine(Argc, Argv);
  auto Signals = sigset_t{};
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  auto Store = SpanStore();
  auto Listener =
      web::http::experimental::listener::http_listener(web::uri(absl::GetFlag(FLAGS_listen)));
  Listener.support(web::http::methods::POST,
                   [&](const web::http::http_request &Request) { handlePost(Store, Request); });
  Listener.support(web::http::methods::GET,
                   [&](const web::http::http_request &Request) { handleGet(Store, Request); });
  try {
    Listener.open().wait();
  } catch (const std::exception &Error) {
    fmt::print(stderr, "level=error event=listen_failed detail=\"{}\"\n", Error.what());
    return 1;
  }
  auto Received = 0;
  sigwait(&Signals, &Received);
  Listener.close().wait();
  return 0;
}
