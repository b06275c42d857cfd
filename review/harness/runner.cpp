#include "runner.h"

#include <fmt/format.h>

namespace review {

using namespace std::chrono_literals;

namespace {

constexpr auto BeatTime = 1200ms;

auto unixMilliseconds() -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto chunk(const std::string &Data) -> std::string {
  return fmt::format("{:x}\r\n{}\r\n", Data.size(), Data);
}

} // namespace

Runner::Runner(Store &Registry, RunnerOptions Options)
    : m_Store(Registry), m_Options(std::move(Options)), m_Born(unixMilliseconds()),
      m_Server(
          [this](Connection &Caller, const Message &Request) { return handle(Caller, Request); }),
      m_Beats([this] { beat(); }) {}

Runner::~Runner() {
  {
    const auto Lock = std::lock_guard(m_Mutex);
    m_IsStopping = true;
  }
  m_Stopped.notify_all();
  m_Beats.join();
}

auto Runner::writeEntry() -> void {
  m_Store.put("servers/" + m_Options.m_Id,
              fmt::format(R"({{"service":"{}","address":"127.0.0.1:{}","zone":"a","version":"v1",)"
                          R"("slots":64,"state":"{}","coldRemainingMs":0,"stage":"both",)"
                          R"("models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{},)"
                          R"("born":{}}})",
                          m_Options.m_Service, m_Server.port(), m_IsDraining ? "draining" : "ready",
                          ++m_Sequence, m_Born));
}

auto Runner::beat() -> void {
  auto Lock = std::unique_lock(m_Mutex);
  while (!m_IsStopping) {
    writeEntry();
    m_Stopped.wait_for(Lock, BeatTime, [this] { return m_IsStopping; });
  }
}

auto Runner::drain() -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  m_IsDraining = true;
  writeEntry();
}

auto Runner::runs() -> std::vector<Run> {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_Runs;
}

auto Runner::stream(const Connection &Caller, const Message &Request) const -> bool {
  auto Text = fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Signature: {}\r\n"
                          "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                          Request.field("request-id"), m_Options.m_Id);
  const auto After = Request.field("last-event-id");
  for (auto Number = After.empty() ? 1 : std::stoi(After) + 1; Number <= m_Options.m_Events;
       ++Number) {
    std::this_thread::sleep_for(m_Options.m_EventTime);
    if (!Caller.write(Text + chunk(fmt::format("id: {}\ndata: piece\n\n", Number)))) {
      return false;
    }
    Text.clear();
  }
  return Caller.write(Text + "0\r\n\r\n");
}

auto Runner::handle(const Connection &Caller, const Message &Request) -> bool {
  const auto RequestId = Request.field("request-id");
  if (Request.field("expect-instance") != m_Options.m_Id) {
    return Caller.write(fmt::format("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {}\r\n"
                                    "Runner-Id: {}\r\nContent-Length: 0\r\n\r\n",
                                    RequestId, m_Options.m_Id));
  }
  {
    const auto Lock = std::lock_guard(m_Mutex);
    m_Runs.push_back({RequestId, m_Options.m_Id, m_Options.m_Service, Request.field("tenant"),
                      std::chrono::steady_clock::now()});
  }
  if (m_Options.m_Events > 0) {
    return stream(Caller, Request);
  }
  std::this_thread::sleep_for(m_Options.m_EventTime);
  return Caller.write(fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Signature: {}\r\n"
                                  "Content-Length: 4\r\n\r\ndone",
                                  RequestId, m_Options.m_Id));
}

} // namespace review
