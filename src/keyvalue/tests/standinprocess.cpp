#include "standinprocess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_client.h>
#include <csignal>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>

namespace geraniumlift::keyvalue {

auto freePort() -> unsigned short {
  using boost::asio::ip::tcp;
  auto Context = boost::asio::io_context();
  auto Acceptor = tcp::acceptor(Context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return Acceptor.local_endpoint().port();
}

StandinProcess::StandinProcess() : m_Url("http://127.0.0.1:" + std::to_string(freePort())) {
  auto Program = std::string(STANDIN_KV);
  auto Listen = "--listen=" + m_Url;
  char *Arguments[] = {Program.data(), Listen.data(), nullptr};
  posix_spawn(&m_Process, Program.c_str(), nullptr, nullptr, Arguments, environ);
  for (auto Attempt = 0; Attempt < 200; ++Attempt) {
    try {
      send("GET", "/counts", "");
      return;
    } catch (const std::exception &) {
      std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
  }
}

StandinProcess::~StandinProcess() {
  kill(m_Process, SIGTERM);
  waitpid(m_Process, nullptr, 0);
}

auto StandinProcess::send(const std::string &Method, const std::string &Path,
                          const std::string &Body) const -> std::string {
  auto Client = web::http::client::http_client(m_Url);
  return Client.request(Method, Path, Body, "application/json").get().extract_string(true).get();
}

} // namespace geraniumlift::keyvalue
