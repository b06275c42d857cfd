#include "process/httpcall.h"

#include <cpprest/http_client.h>
#include <thread>

namespace geraniumlift::testing {

namespace {

constexpr auto PollInterval = std::chrono::milliseconds{20};
using ByteBuffer = concurrency::streams::streambuf<std::uint8_t>;

auto readBody(const web::http::http_response &Response, const HttpCall &Request, HttpResult &Result)
    -> void {
  auto Buffer = Response.body().streambuf();
  while (true) {
    if (Buffer.getc().get() == ByteBuffer::traits::eof()) {
      return;
    }
    auto Bytes = std::string(Buffer.in_avail(), '\0');
    Buffer.getn(reinterpret_cast<std::uint8_t *>(Bytes.data()), Bytes.size()).get();
    Result.m_Body += Bytes;
    if (Request.m_OnBytes) {
      Request.m_OnBytes(Bytes);
    }
  }
}

} // namespace

auto sendHttp(const HttpCall &Request) -> HttpResult {
  auto Result = HttpResult();
  try {
    auto Options = web::http::client::http_client_config();
    Options.set_timeout(Request.m_Timeout);
    auto Client = web::http::client::http_client(web::uri(Request.m_Url), Options);
    auto Http = web::http::http_request(Request.m_Method);
    for (const auto &[Name, Value] : Request.m_Headers) {
      Http.headers().add(Name, Value);
    }
    if (!Request.m_Body.empty()) {
      Http.set_body(Request.m_Body, "application/json");
    }
    const auto Response = Client.request(Http).get();
    Result.m_Status = Response.status_code();
    for (const auto &[Name, Value] : Response.headers()) {
      Result.m_Headers.emplace(Name, Value);
    }
    readBody(Response, Request, Result);
  } catch (const std::exception &) {
    Result.m_Truncated = Result.m_Status != 0;
  }
  return Result;
}

auto waitFor(const std::function<bool()> &Condition, std::chrono::seconds Timeout) -> bool {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End) {
      return false;
    }
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace geraniumlift::testing
