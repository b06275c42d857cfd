#include "standins/platform/targetstandin.h"

#include <fmt/format.h>

namespace geraniumlift::standins {

namespace {

/// Events of a whole stream.
constexpr auto EventCount = std::uint64_t{5};

/// How long a crashed target is away.
constexpr auto RestartTime = std::chrono::milliseconds(150);

/// How long a brittle target is away that has fallen over.
constexpr auto FallTime = std::chrono::milliseconds(600);

auto chunk(const std::string &Data) -> std::string {
  return fmt::format("{:x}\r\n{}\r\n", Data.size(), Data);
}

} // namespace

auto targetRegistration(const TargetRegistration &Registration) -> std::string {
  return fmt::format(R"({{"service":"{}","address":"127.0.0.1:{}","zone":"{}","version":"{}",)"
                     R"("slots":{},"state":"{}","coldRemainingMs":{},"sequence":1,"born":5}})",
                     Registration.m_Pool, Registration.m_Port, Registration.m_DataCentre,
                     Registration.m_Version, Registration.m_Slots, Registration.m_State,
                     Registration.m_ColdTime.count());
}

TargetStandin::TargetStandin(boost::asio::io_context &Loop, StoreStandin &Store, std::string Id,
                             std::string Pool, int Port)
    : m_Store(Store), m_Id(std::move(Id)), m_Pool(std::move(Pool)), m_Port(Port),
      m_Server(Loop, Port, [this](const Received &Request) { return handle(Request); }) {
  registerAs("ready");
}

auto TargetStandin::registerAs(const std::string &State) -> void {
  m_Store.put("servers/" + m_Id,
              targetRegistration({m_Pool, m_Port, 4, State, m_DataCentre, m_ColdTime, m_Version}));
}

auto TargetStandin::runs(const std::string &RequestId) -> int {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_Runs[RequestId];
}

auto TargetStandin::totalRuns() -> int {
  const auto Lock = std::lock_guard(m_Mutex);
  auto Sum = 0;
  for (const auto &[Id, Count] : m_Runs) {
    Sum += Count;
  }
  return Sum;
}

auto TargetStandin::runTimes() -> std::vector<std::chrono::steady_clock::time_point> {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_RunTimes;
}

auto TargetStandin::arrivalTimes() -> std::vector<std::chrono::steady_clock::time_point> {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_ArrivalTimes;
}

auto TargetStandin::statementFields() const -> std::string {
  const auto Limit = m_NamedLimit.load();
  auto Fields = Limit > 0 ? fmt::format("Server-Limit: {}.0\r\n", Limit) : std::string();
  if (const auto Rejections = m_MaxRejections.load(); Rejections >= 0) {
    Fields += fmt::format("Server-Brittle: {}\r\n", Rejections);
  }
  return m_SaysLeaving ? Fields + "Server-Leaving: 1\r\n" : Fields;
}

auto TargetStandin::lastField(const std::string &Name) -> std::string {
  const auto Lock = std::lock_guard(m_Mutex);
  return std::string(m_Last.m_Head.m_Fields.find(Name).value_or("(absent)"));
}

auto TargetStandin::lastBody() -> std::string {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_Last.m_Body;
}

auto TargetStandin::streamReply(const std::string &Id, std::uint64_t After, bool Breaks) -> Reply {
  auto Text = fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Signature: s\r\n"
                          "Content-Type: text/event-stream\r\n{}Transfer-Encoding: chunked\r\n\r\n",
                          Id, statementFields());
  const auto Last = Breaks ? After + 2 : EventCount;
  for (auto Number = After + 1; Number <= Last; ++Number) {
    Text += chunk(fmt::format("id: {}\ndata: word{}\n\n", Number, Number));
  }
  if (Breaks) {
    Text += chunk("id: 99\nda");
  }
  return {Breaks ? Text : Text + "0\r\n\r\n", Breaks};
}

auto TargetStandin::turnAway(const std::string &RequestId, std::optional<Reply> &Into) -> bool {
  const auto Now = std::chrono::steady_clock::now();
  for (auto *Times : {&m_Taken, &m_Rejected}) {
    while (!Times->empty() && Times->front() <= Now - std::chrono::seconds(1)) {
      Times->pop_front();
    }
  }
  if (m_Room == 0 || m_Taken.size() < static_cast<std::size_t>(m_Room)) {
    m_Taken.push_back(Now);
    return false;
  }
  m_Rejected.push_back(Now);
  const auto MaxRejections = m_MaxRejections.load();
  if (MaxRejections >= 0 && m_Rejected.size() > static_cast<std::size_t>(MaxRejections)) {
    ++m_Falls;
    m_Taken.clear();
    m_Rejected.clear();
    crash(FallTime);
    Into = std::nullopt;
    return true;
  }
  Into = Reply{fmt::format("HTTP/1.1 503 x\r\nRequest-Id: {}\r\nNot-Executed: 1\r\n{}"
                           "Content-Length: 0\r\n\r\n",
                           RequestId, statementFields())};
  return true;
}

auto TargetStandin::crash(std::chrono::milliseconds Pause) -> void {
  m_Store.erase("servers/" + m_Id);
  m_Server.crash(Pause, [this] {
    m_Id += "+";
    registerAs("ready");
  });
}

auto TargetStandin::handle(const Received &Request) -> std::optional<Reply> {
  const auto Lock = std::lock_guard(m_Mutex);
  const auto &Fields = Request.m_Head.m_Fields;
  const auto Id = std::string(Fields.find("Request-Id").value_or(""));
  if (Fields.find("Expect-Instance").value_or("") != m_Id) {
    return Reply{fmt::format("HTTP/1.1 421 x\r\nRequest-Id: {}\r\nContent-Length: 0\r\n\r\n", Id)};
  }
  m_ArrivalTimes.push_back(std::chrono::steady_clock::now());
  if (const auto Pause = m_PauseMs.load(); Pause > 0) {
    return Reply{fmt::format("HTTP/1.1 503 x\r\nRequest-Id: {}\r\nNot-Executed: 1\r\n"
                             "Retry-After: {:.3f}\r\nContent-Length: 0\r\n\r\n",
                             Id, Pause / 1000.0)};
  }
  const auto Fault = m_Fault.load();
  if (Fault == TargetFault::Refuses) {
    return Reply{fmt::format(
        "HTTP/1.1 503 x\r\nRequest-Id: {}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", Id)};
  }
  auto Rejection = std::optional<Reply>();
  if (turnAway(Id, Rejection)) {
    return Rejection;
  }
  m_Last = Request;
  ++m_Runs[Id];
  m_RunTimes.push_back(std::chrono::steady_clock::now());
  if (!m_DeadlyPart.empty() &&
      Fields.find("Prompt-Prefix").value_or("").find(m_DeadlyPart) != std::string_view::npos) {
    crash(RestartTime);
    return std::nullopt;
  }
  if (Fault == TargetFault::Hangs) {
    return std::nullopt;
  }
  if (Fault == TargetFault::RepeatsRefusal) {
    return Reply{"HTTP/1.1 503 x\r\nRequest-Id: earlier\r\nNot-Executed: 1\r\n"
                 "Content-Length: 0\r\n\r\n"};
  }
  if (Fault == TargetFault::LosesAnswer) {
    return Reply{"", true};
  }
  if (Fields.has("Token-Usage")) {
    const auto After = std::stoull(std::string(Fields.find("Last-Event-Id").value_or("0")));
    return streamReply(Id, After, Fault == TargetFault::BreaksStream);
  }
  const auto Status = Fault == TargetFault::Fails ? 500 : 200;
  return Reply{fmt::format("HTTP/1.1 {} x\r\nRequest-Id: {}\r\nServer-Signature: s\r\n"
                           "{}Content-Length: 4\r\n\r\ndone",
                           Status, Id, statementFields())};
}

} // namespace geraniumlift::standins
