#include "process/fleet.h"

#include "base/hashing.h"
#include "process/freeport.h"

#include <cpprest/json.h>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>

namespace geraniumlift::testing {

namespace {

constexpr auto DataCentres = std::array{"swansea-a", "cardiff-b", "newport-c"};
constexpr auto ApiKeyPrefix = "test-key-";
constexpr auto PeerKey = "0123456789abcdef0123456789abcdef";
constexpr auto FarPeerKey = "fedcba9876543210fedcba9876543210";
constexpr auto StartTimeout = std::chrono::seconds{60};

auto loopback(int Port) -> std::string { return fmt::format("http://127.0.0.1:{}", Port); }

auto vmOf(int Index) -> std::string { return fmt::format("entry-{}", Index + 1); }

auto makeFolder() -> std::string {
  auto Template = std::string("/tmp/geraniumlift-XXXXXX");
  if (mkdtemp(Template.data()) == nullptr) {
    throw std::runtime_error("cannot create a folder for the test");
  }
  return Template;
}

/// A workspace with a budget and an API key named after it.
auto workspaceObjects(const std::string &Name) -> std::string {
  return fmt::format("[budget.{0}]\n[workspace.{0}]\nbudget = \"{0}\"\n"
                     "priority_class = \"paid\"\nkey_hashes = [\"{1}\"]\n",
                     Name, base::sha256Hex(ApiKeyPrefix + Name));
}

} // namespace

Fleet::Fleet(FleetOptions Options)
    : m_Options(std::move(Options)), m_Programs{PROGRAM_ROUTER, PROGRAM_CONTROL, PROGRAM_KEY_VALUE,
                                                PROGRAM_ENGINE, PROGRAM_SERVICE},
      m_Folder(makeFolder()), m_KeyValuePort(freePort()), m_RelayPort(freePort()),
      m_ServicePort(freePort()), m_Routers(m_Options.m_Routers) {
  for (auto Index = 0; Index < m_Options.m_Engines; ++Index) {
    m_EnginePorts.push_back(freePort());
  }
  for (auto Index = 0; Index < m_Options.m_Routers; ++Index) {
    m_RouterPorts.push_back({freePort(), freePort(), freePort()});
  }
}

Fleet::~Fleet() {
  m_Routers.clear();
  if (std::getenv("KEEP_TEST_FOLDER") == nullptr) {
    std::filesystem::remove_all(m_Folder);
  }
}

auto Fleet::start() -> void {
  const auto Listen = [](int Port) { return std::vector{"--listen=" + loopback(Port)}; };
  m_KeyValue = std::make_unique<ChildProcess>(m_Programs.m_KeyValue, Listen(m_KeyValuePort),
                                              m_Folder + "/kv.log");
  m_Relay = std::make_unique<TcpRelay>(m_RelayPort, m_KeyValuePort);
  m_Service = std::make_unique<ChildProcess>(m_Programs.m_Service, Listen(m_ServicePort),
                                             m_Folder + "/service.log");
  for (const auto Port : m_EnginePorts) {
    auto Arguments = Listen(Port);
    Arguments.push_back(fmt::format("--slots={}", m_Options.m_EngineSlots));
    m_Engines.push_back(std::make_unique<ChildProcess>(
        m_Programs.m_Engine, Arguments, fmt::format("{}/engine-{}.log", m_Folder, Port)));
  }
  const auto IsUp = [](const std::string &Url) { return sendHttp({"GET", Url}).m_Status == 200; };
  auto Up = waitFor([&] { return IsUp(keyValueUrl() + "/counts"); }, StartTimeout) &&
            waitFor([&] { return IsUp(serviceUrl() + "/counts"); }, StartTimeout);
  for (auto Index = 0; Index < m_Options.m_Engines; ++Index) {
    Up = Up && waitFor([&] { return IsUp(engineUrl(Index) + "/counts"); }, StartTimeout);
  }
  auto Vms = std::map<std::string, std::string>();
  for (auto Index = 0; Index < m_Options.m_Routers; ++Index) {
    Vms.emplace(vmOf(Index), "live");
  }
  setVmList(Vms);
  Up = Up && ctl({"publish", writeObjects()}).m_ExitCode == 0;
  for (const auto &[Budget, Tokens] : m_Options.m_Budgets) {
    Up = Up && ctl({"top-up", Budget, std::to_string(Tokens), "--id=first"}).m_ExitCode == 0;
  }
  for (auto Index = 0; Index < m_Options.m_Routers; ++Index) {
    startRouter(Index);
  }
  for (auto Index = 0; Index < m_Options.m_Routers; ++Index) {
    Up = Up && waitFor([&] { return IsUp(operatorsUrl(Index) + "/readyz"); }, StartTimeout);
  }
  if (!Up) {
    throw std::runtime_error("the fleet did not start; logs are in " + m_Folder);
  }
}

auto Fleet::startRouter(int Index) -> void {
  m_Routers.at(Index) = std::make_unique<ChildProcess>(
      m_Programs.m_Router, std::vector{"--settings=" + writeSettings(Index)},
      fmt::format("{}/{}.log", m_Folder, vmOf(Index)));
}

auto Fleet::callersUrl(int Index) const -> std::string {
  return loopback(m_RouterPorts.at(Index).m_Callers);
}

auto Fleet::operatorsUrl(int Index) const -> std::string {
  return loopback(m_RouterPorts.at(Index).m_Operators);
}

auto Fleet::keyValueUrl() const -> std::string { return loopback(m_KeyValuePort); }
auto Fleet::serviceUrl() const -> std::string { return loopback(m_ServicePort); }

auto Fleet::engineUrl(int Index) const -> std::string { return loopback(m_EnginePorts.at(Index)); }

auto Fleet::control(const std::string &Url, const std::string &Json) const -> void {
  if (sendHttp({"POST", Url + "/control", Json}).m_Status != 200) {
    throw std::runtime_error("a stand-in did not take " + Json);
  }
}

auto Fleet::checkSettings(const std::string &MoreLines) const -> ProgramResult {
  const auto File = writeSettings(0);
  std::ofstream(File, std::ios::app) << MoreLines;
  return runProgram(m_Programs.m_Router, {"--check", "--settings=" + File},
                    m_Folder + "/check.log");
}

auto Fleet::ctl(std::vector<std::string> Arguments) const -> ProgramResult {
  Arguments.push_back("--kv=" + keyValueUrl());
  return runProgram(m_Programs.m_Control, Arguments, m_Folder + "/ctl.log");
}

auto Fleet::setVmList(const std::map<std::string, std::string> &StateByVm) const -> void {
  auto Rows = std::string();
  for (const auto &[Vm, State] : StateByVm) {
    Rows += fmt::format(R"({}{{"name":"{}","state":"{}"}})", Rows.empty() ? "" : ",", Vm, State);
  }
  sendHttp({"PUT", keyValueUrl() + "/vms", "{\"vms\":[" + Rows + "]}"});
}

auto Fleet::completion(int Router, int Tokens, const std::string &Key,
                       const std::string &Workspace) const -> HttpCall {
  auto Request = HttpCall();
  Request.m_Method = "POST";
  Request.m_Url = callersUrl(Router) + "/v1/chat/completions";
  Request.m_Body =
      fmt::format(R"({{"model":"fern-7b","stream":true,"max_tokens":{0},"x_tokens":{0},)"
                  R"("messages":[{{"role":"user","content":"How often do I water a fern?"}}]}})",
                  Tokens);
  Request.m_Headers = {{"Authorization", std::string("Bearer ") + ApiKeyPrefix + Workspace}};
  if (!Key.empty()) {
    Request.m_Headers.emplace("Idempotency-Key", Key);
  }
  return Request;
}

auto Fleet::booking(int Router, const std::string &Key, const std::string &Body) const -> HttpCall {
  auto Request = HttpCall();
  Request.m_Method = "POST";
  Request.m_Url = callersUrl(Router) + "/services/bookings/refills";
  Request.m_Body = Body;
  Request.m_Headers = {{"Authorization", std::string("Bearer ") + ApiKeyPrefix + "office"},
                       {"Idempotency-Key", Key}};
  return Request;
}

auto Fleet::balance(const std::string &Budget) const -> Balance {
  const auto Shown = ctl({"budget", "show", Budget, "--output=json"});
  if (Shown.m_ExitCode != 0) {
    throw std::runtime_error("geraniumctl budget show failed: " + Shown.m_Output);
  }
  const auto Json = web::json::value::parse(Shown.m_Output);
  const auto Field = [&](const char *Name) { return Json.at(Name).as_number().to_int64(); };
  return {Field("topped_up"), Field("settled"), Field("granted"), Field("left")};
}

auto Fleet::executions(const std::string &Key) const -> std::int64_t {
  const auto Counts = sendHttp({"GET", serviceUrl() + "/counts"});
  const auto Json = web::json::value::parse(Counts.m_Body);
  const auto &Keys = Json.at("by_key");
  return Keys.has_field(Key) ? Keys.at(Key).as_number().to_int64() : 0;
}

auto Fleet::writeSettings(int Index) const -> std::string {
  auto File = fmt::format("{}/{}.toml", m_Folder, vmOf(Index));
  const auto &Ports = m_RouterPorts.at(Index);
  const auto KeyValue = isFar(Index) ? loopback(m_RelayPort) : keyValueUrl();
  auto Seeds = std::string();
  for (const auto &Row : m_RouterPorts) {
    Seeds += fmt::format("{}\"127.0.0.1:{}\"", Seeds.empty() ? "" : ", ", Row.m_Peers);
  }
  std::ofstream(File) << fmt::format(
      R"(vm = "{}"
data_centre = "{}"
[callers]
listen = "{}"
entry_time_to_live_ms = {}
[operators]
listen = "{}"
[peers]
listen = "127.0.0.1:{}"
seeds = [{}]
key = "{}"
[platform]
key_value_url = "{}"
vm_list_url = "{}"
vm_list_interval_ms = 500
[budget]
commit_interval_ms = {}
bill_hold_ms = {}
expected_routers = {}
)",
      vmOf(Index), DataCentres.at(Index % DataCentres.size()), loopback(Ports.m_Callers),
      m_Options.m_EntryTimeToLiveMs, loopback(Ports.m_Operators), Ports.m_Peers, Seeds,
      isFar(Index) ? FarPeerKey : PeerKey, KeyValue, KeyValue, m_Options.m_CommitIntervalMs,
      m_Options.m_BillHoldMs, m_Options.m_Routers);
  return File;
}

auto Fleet::writeObjects() const -> std::string {
  auto File = m_Folder + "/objects.toml";
  auto Stream = std::ofstream(File);
  Stream << "[priority_class.paid]\nlevel = 1\nguaranteed_share = 0.6\n"
            "[model_pool.advice]\nkind = \"engine\"\nmodels = [\"fern-7b\"]\n"
            "[model_pool.bookings]\nkind = \"service\"\nidempotent = false\ntokens_per_call = 5\n";
  for (const auto &Row : m_Options.m_Budgets) {
    Stream << workspaceObjects(Row.first);
  }
  for (auto Index = 0; Index < m_Options.m_IdleWorkspaces; ++Index) {
    Stream << workspaceObjects(fmt::format("idle-{}", Index));
  }
  for (std::size_t Index = 0; Index < m_EnginePorts.size(); ++Index) {
    Stream << fmt::format("[target.engine-{}]\npool = \"advice\"\nurl = \"{}\"\n"
                          "data_centre = \"{}\"\nslots = {}\n",
                          Index + 1, engineUrl(static_cast<int>(Index)),
                          DataCentres.at(Index % DataCentres.size()), m_Options.m_EngineSlots);
  }
  Stream << fmt::format("[target.bookings-1]\npool = \"bookings\"\nurl = \"{}\"\n"
                        "data_centre = \"{}\"\nslots = 8\n",
                        serviceUrl(), DataCentres[0]);
  return File;
}

} // namespace geraniumlift::testing
