#include "rig.h"

#include "httpchannel.h"
#include "process/freeport.h"

#include <csignal>
#include <fmt/format.h>
#include <fstream>

namespace geraniumlift::review {

using namespace std::chrono_literals;

namespace {

/// Finds a number behind a name in a file of /proc.
auto statusKb(int Pid, const std::string &Name) -> std::int64_t {
  auto File = std::ifstream(fmt::format("/proc/{}/status", Pid));
  for (auto Line = std::string(); std::getline(File, Line);) {
    if (Line.starts_with(Name + ":")) {
      return std::stoll(Line.substr(Name.size() + 1));
    }
  }
  return 0;
}

auto settingsText(const std::string &Name, const std::string &Ip, const std::array<int, 5> &Ports,
                  int MemoryMb) -> std::string {
  return fmt::format(R"(vm = "{0}"
data_centre = "rajkot-a"
[callers]
listen = "{1}:{2}"
[readiness]
listen = "{1}:{3}"
[directory]
listen = "{1}:{4}"
time_to_live_s = 2
[peers]
ip = "{1}"
ports = "{5},{5}"
contact_time_ms = "3000"
[store]
address = "127.0.0.1:{6}"
change_time_ms = "2000"
configuration_time_ms = "2000"
[limits]
cores = "1"
processor_share = "0.25"
link_mbps = "1000.0"
memory_mb = "{7}"
descriptors = "4100"
[cold_targets]
overage = ""
slack = ""
[regions]
"rajkot-a" = "guj-west"
[stop]
time_s = "8"
[retries]
share = "0.2"
slack = "58"
)",
                     Name, Ip, Ports[0], Ports[1], Ports[2], Ports[3], Ports[4], MemoryMb);
}

} // namespace

auto readOptions(int Count, char **Arguments) -> RunOptions {
  auto Options = RunOptions();
  if (Count != 4) {
    std::exit(CouldNotRun);
  }
  Options.m_Router = Arguments[1];
  Options.m_Engine = Arguments[2];
  Options.m_Record = Arguments[3];
  const auto *Trouble = std::getenv("TROUBLE");
  Options.m_HasTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  return Options;
}

Record::Record(const std::string &Path) : m_File(std::fopen(Path.c_str(), "w")) {
  if (m_File == nullptr) {
    std::exit(CouldNotRun);
  }
}

auto Record::seconds() const -> double {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_Start).count();
}

auto Record::line(const std::string &Text) -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  fmt::print(m_File, "{:7.3f} {}\n", seconds(), Text);
  std::fflush(m_File);
}

RouterVm::RouterVm(const RunOptions &Options, const std::filesystem::path &Folder, int Index,
                   int StorePort, int MemoryMb)
    : m_Program(Options.m_Router), m_Name(fmt::format("front-rajkot-a-{}", Index + 1)),
      m_Ip("127.0.0.1"), m_MemoryMb(MemoryMb), m_CallerPort(testing::freePort()),
      m_ReadyPort(testing::freePort()), m_SettingsFile(Folder / (m_Name + ".toml")),
      m_LogFile(Folder / (m_Name + ".log")) {
  std::ofstream(m_SettingsFile) << settingsText(
      m_Name, m_Ip,
      {m_CallerPort, m_ReadyPort, testing::freePort(), testing::freePort(), StorePort}, MemoryMb);
}

auto RouterVm::start() -> void {
  m_Process = std::make_unique<testing::ChildProcess>(
      m_Program, std::vector<std::string>{"--settings=" + m_SettingsFile.string()},
      m_LogFile.string() + std::to_string(++m_Starts));
}

auto RouterVm::isReady() const -> bool {
  auto Channel = HttpChannel(m_Ip, m_ReadyPort);
  return Channel.open() && Channel.send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n") &&
         Channel.receive(500ms).m_Status == 200;
}

auto RouterVm::signal(int Signal) const -> void { m_Process->signal(Signal); }

auto RouterVm::hasEnded() -> bool { return m_Process->waitForExit(0s).has_value(); }

auto RouterVm::residentKb() const -> std::int64_t { return statusKb(m_Process->pid(), "VmRSS"); }

auto RouterVm::unreadKb() const -> std::int64_t {
  auto File = std::ifstream("/proc/net/tcp");
  auto Sum = std::int64_t{0};
  const auto Own = fmt::format("0100007F:{:04X}", m_CallerPort);
  auto Number = std::string();
  auto Local = std::string();
  auto Remote = std::string();
  auto State = std::string();
  auto Queues = std::string();
  for (auto Line = std::string(); std::getline(File, Line);) {
    auto Fields = std::istringstream(Line);
    Fields >> Number >> Local >> Remote >> State >> Queues;
    // "01" is an established connection; the queues are "sent:received" in hexadecimal.
    if (Local == Own && State == "01") {
      Sum += std::stoll(Queues.substr(Queues.find(':') + 1), nullptr, 16);
    }
  }
  return Sum / 1024;
}

auto EngineVm::received() const -> std::set<std::string> {
  auto File = std::ifstream(m_LogFile);
  auto Result = std::set<std::string>();
  for (auto Line = std::string(); std::getline(File, Line);) {
    if (Line.starts_with("received ")) {
      Result.insert(Line.substr(9));
    }
  }
  return Result;
}

Deployment::Deployment(RunOptions Options)
    : m_Options(std::move(Options)), m_Guard(m_Loop.get_executor()),
      m_StorePort(testing::freePort()),
      m_Store(std::make_unique<standins::StoreStandin>(m_Loop, m_StorePort)) {
  auto Name = (std::filesystem::temp_directory_path() / "geraniumlift-review-XXXXXX").string();
  if (::mkdtemp(Name.data()) == nullptr) {
    std::exit(CouldNotRun);
  }
  m_Folder = Name;
  m_Thread = std::thread([this] { m_Loop.run(); });
}

Deployment::~Deployment() {
  m_Routers.clear();
  m_Engines.clear();
  m_Loop.stop();
  m_Thread.join();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_Folder);
  }
}

auto Deployment::configure(int Version, const std::string &Tenants) -> void {
  m_Store->put(
      "op/config",
      fmt::format(
          R"({{"version":{},"routes":[)"
          R"({{"name":"dossier","host":"h","pathPrefix":"/dossier/","kind":"streaming",)"
          R"("timeoutMs":5000,"targetLatencyMs":600,"priority":0,"service":"engines",)"
          R"("maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":250}})"
          R"(],"services":[{{"name":"engines","healthPath":"/health","maxConnections":370,)"
          R"("engine":{{"slots":64,"kvCapacityTokens":243249,"stride":5}}}}],)"
          R"("limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
          R"("idleTimeoutMs":15000}},"tenants":{}}})",
          Version, Tenants));
}

auto Deployment::addRouters(int Count, int MemoryMb) -> void {
  for (auto Index = 0; Index < Count; ++Index) {
    m_Routers.push_back(
        std::make_unique<RouterVm>(m_Options, m_Folder, Index, m_StorePort, MemoryMb));
  }
}

auto Deployment::addEngine(const std::string &Service, EngineTimes Times) -> EngineVm & {
  auto Engine = std::make_unique<EngineVm>();
  Engine->m_Id = fmt::format("i-{:08x}", 0x7f3a91c2 + m_Engines.size());
  Engine->m_Port = testing::freePort();
  Engine->m_LogFile = m_Folder / (Engine->m_Id + ".log");
  Engine->m_Process = std::make_unique<testing::ChildProcess>(
      m_Options.m_Engine,
      std::vector<std::string>{std::to_string(Engine->m_Port), Engine->m_Id,
                               std::to_string(Times.m_FirstEvent.count()),
                               std::to_string(Times.m_Gap.count()), std::to_string(Times.m_Events)},
      Engine->m_LogFile);
  const auto Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  m_Store->put("servers/" + Engine->m_Id,
               fmt::format(R"({{"service":"{}","address":"127.0.0.1:{}","zone":"rajkot-a",)"
                           R"("version":"v1","slots":64,"state":"ready","coldRemainingMs":0,)"
                           R"("stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],)"
                           R"("sequence":1,"born":{}}})",
                           Service, Engine->m_Port, Born));
  m_Engines.push_back(std::move(Engine));
  return *m_Engines.back();
}

auto Deployment::startRouters() -> bool {
  for (const auto &Router : m_Routers) {
    Router->start();
  }
  const auto End = std::chrono::steady_clock::now() + 15s;
  for (const auto &Router : m_Routers) {
    while (!Router->isReady()) {
      if (std::chrono::steady_clock::now() > End) {
        return false;
      }
      std::this_thread::sleep_for(50ms);
    }
  }
  return true;
}

} // namespace geraniumlift::review
