#include "targets/tests/standinprocess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_client.h>
#include <csignal>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace geraniumlift::targets {

namespace {

constexpr auto StartAttempts = 500;
constexpr auto StartPause = std::chrono::milliseconds{20};

auto call(const std::string &Url, const std::string &Method, const std::string &Path,
          const std::string &Body) -> std::string {
  auto Client = web::http::client::http_client(web::uri(Url));
  auto Request = web::http::http_request(Method);
  Request.set_request_uri(Path);
  if (!Body.empty()) {
    Request.set_body(Body, "application/json");
  }
  return Client.request(Request).get().extract_string(true).get();
}

auto startProgram(std::vector<std::string> Arguments) -> pid_t {
  auto Pointers = std::vector<char *>();
  for (auto &Argument : Arguments) {
    Pointers.push_back(Argument.data());
  }
  Pointers.push_back(nullptr);
  const auto Pid = fork();
  if (Pid == 0) {
    // Kills the stand-in when the test process ends, also after a crash.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execv(Pointers[0], Pointers.data());
    _exit(127);
  }
  return Pid;
}

} // namespace

auto freePort() -> std::uint16_t {
  using boost::asio::ip::tcp;
  auto Context = boost::asio::io_context();
  const auto Loopback = tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0);
  return tcp::acceptor(Context, Loopback).local_endpoint().port();
}

StandinProcess::StandinProcess(const std::string &Program, const std::vector<std::string> &Flags)
    : m_Url("http://127.0.0.1:" + std::to_string(freePort())) {
  auto Arguments = std::vector<std::string>{Program, "--listen=" + m_Url};
  Arguments.insert(Arguments.end(), Flags.begin(), Flags.end());
  m_Pid = startProgram(Arguments);
  for (auto Attempt = 0; Attempt < StartAttempts; ++Attempt) {
    try {
      call(m_Url, "GET", "/counts", "");
      return;
    } catch (const std::exception &) {
      std::this_thread::sleep_for(StartPause);
    }
  }
  kill();
  throw std::runtime_error("the stand-in did not start: " + Program);
}

StandinProcess::~StandinProcess() { kill(); }

auto StandinProcess::control(const std::string &Json) -> void {
  call(m_Url, "POST", "/control", Json);
}

auto StandinProcess::count(const std::string &Field, const std::string &Key) const -> std::int64_t {
  const auto Counts = web::json::value::parse(call(m_Url, "GET", "/counts", ""));
  const auto &Found = Counts.at(Field);
  if (Key.empty()) {
    return Found.as_number().to_int64();
  }
  return Found.has_field(Key) ? Found.at(Key).as_number().to_int64() : 0;
}

auto StandinProcess::kill() -> void {
  if (m_Pid > 0) {
    ::kill(m_Pid, SIGKILL);
    waitpid(m_Pid, nullptr, 0);
    m_Pid = -1;
  }
}

} // namespace geraniumlift::targets
