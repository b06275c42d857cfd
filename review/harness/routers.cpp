#include "routers.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

using namespace std::chrono_literals;

namespace {

/// The program of the deploy file, from the root of the repository.
constexpr auto Program = "target/platform/geraniumlift-router";

} // namespace

Router::Router(std::string Name, const std::string &Folder, int StorePort,
               std::chrono::milliseconds DrainTime)
    : m_Name(std::move(Name)), m_SettingsFile(Folder + "/" + m_Name + ".toml"),
      m_LogFile(Folder + "/" + m_Name + ".log") {
  const auto PeerPort = freePort();
  auto File = std::ofstream(m_SettingsFile);
  File << fmt::format(R"(vm = "{}"
data_centre = "a"

[callers]
listen = "127.0.0.1:{}"

[readiness]
listen = "127.0.0.1:{}"

[directory]
listen = "127.0.0.1:{}"
time_to_live_s = 2

[peers]
ip = "127.0.0.1"
ports = "{},{}"

[store]
address = "127.0.0.1:{}"
change_time_ms = "{}"

[limits]
cores = "1"
processor_share = "0.25"
memory_mb = "110"
descriptors = "4100"

[stop]
time_s = "8"

[retries]
share = "0.2"
slack = "58"
)",
                      m_Name, m_CallerPort, m_ReadinessPort, freePort(), PeerPort, PeerPort,
                      StorePort, DrainTime.count());
}

Router::~Router() { kill(); }

auto Router::start() -> void {
  const auto Settings = "--settings=" + m_SettingsFile;
  m_Pid = ::fork();
  if (m_Pid != 0) {
    return;
  }
  // The process ends with the test, however that ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const auto Log = ::open(m_LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  ::dup2(Log, STDOUT_FILENO);
  ::dup2(Log, STDERR_FILENO);
  ::setenv("GERANIUMLIFT_BOOT", m_SettingsFile.c_str(), 1);
  ::execl(Program, Program, Settings.c_str(), nullptr);
  ::_exit(127);
}

auto Router::kill() -> void {
  if (m_Pid > 0) {
    ::kill(m_Pid, SIGKILL);
    ::waitpid(m_Pid, nullptr, 0);
    m_Pid = -1;
  }
}

auto Router::isReady() const -> bool {
  auto Caller = Connection(Connection::connectTo(m_ReadinessPort));
  auto Answer = Message();
  return Caller.write("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n") && Caller.read(Answer, 1000ms) &&
         Answer.secondWord() == "200";
}

auto Router::linesWith(const std::vector<std::string> &Words, std::size_t Most) const
    -> std::vector<std::string> {
  auto Result = std::vector<std::string>();
  auto File = std::ifstream(m_LogFile);
  auto Line = std::string();
  while (Result.size() < Most && std::getline(File, Line)) {
    const auto Has = std::any_of(Words.begin(), Words.end(), [&Line](const std::string &Word) {
      return Line.find(Word) != std::string::npos;
    });
    if (Has) {
      Result.push_back(Line);
    }
  }
  return Result;
}

auto waitUntilReady(const std::vector<std::unique_ptr<Router>> &Routers,
                    std::chrono::milliseconds Timeout) -> bool {
  const auto Until = std::chrono::steady_clock::now() + Timeout;
  while (std::chrono::steady_clock::now() < Until) {
    if (std::all_of(Routers.begin(), Routers.end(),
                    [](const auto &Item) { return Item->isReady(); })) {
      return true;
    }
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

} // namespace review
