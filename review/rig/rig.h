#pragma once

#include "process/childprocess.h"
#include "standins/platform/storestandin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace geraniumlift::review {

/// Exit codes of the scripts.
constexpr auto RuleHeld = 0;
constexpr auto RuleBroken = 1;
constexpr auto CouldNotRun = 2;

/// Programs and folders that a driver gets on its command line, and the environment's TROUBLE.
struct RunOptions {
  std::string m_Router;
  std::string m_Engine;
  std::string m_Record;
  bool m_HasTrouble = true;
};

/// Reads the arguments ROUTER ENGINE RECORD.
auto readOptions(int Count, char **Arguments) -> RunOptions;

/// The record of a run, with the time since its start before each line.
class Record {
public:
  explicit Record(const std::string &Path);
  auto line(const std::string &Text) -> void;
  [[nodiscard]] auto seconds() const -> double;

private:
  std::mutex m_Mutex;
  std::FILE *m_File;
  std::chrono::steady_clock::time_point m_Start = std::chrono::steady_clock::now();
};

/// One router process with the settings of the deploy file's template.
class RouterVm {
public:
  RouterVm(const RunOptions &Options, const std::filesystem::path &Folder, int Index, int StorePort,
           int MemoryMb);

  auto start() -> void;
  [[nodiscard]] auto isReady() const -> bool;
  auto signal(int Signal) const -> void;

  /// Whether the process has ended; it is reaped then.
  auto hasEnded() -> bool;

  /// Resident memory in KiB; 0 if the process is gone.
  [[nodiscard]] auto residentKb() const -> std::int64_t;

  /// Bytes that callers have sent and the process has not read, in KiB.
  [[nodiscard]] auto unreadKb() const -> std::int64_t;
  [[nodiscard]] auto name() const -> const std::string & { return m_Name; }
  [[nodiscard]] auto ip() const -> const std::string & { return m_Ip; }
  [[nodiscard]] auto callerPort() const -> int { return m_CallerPort; }
  [[nodiscard]] auto memoryMb() const -> int { return m_MemoryMb; }

private:
  std::string m_Program;
  std::string m_Name;
  std::string m_Ip;
  int m_MemoryMb;
  int m_CallerPort;
  int m_ReadyPort;
  int m_Starts = 0;
  std::filesystem::path m_SettingsFile;
  std::filesystem::path m_LogFile;
  std::unique_ptr<testing::ChildProcess> m_Process;
};

/// One runner process. Its log tells which requests it has received.
struct EngineVm {
  std::string m_Id;
  int m_Port = 0;
  std::filesystem::path m_LogFile;
  std::unique_ptr<testing::ChildProcess> m_Process;

  /// IDs of the requests that reached the runner.
  [[nodiscard]] auto received() const -> std::set<std::string>;
};

/// How a runner answers.
struct EngineTimes {
  std::chrono::milliseconds m_FirstEvent{1000};
  std::chrono::milliseconds m_Gap{40};
  int m_Events = 10;
};

/// The platform's store, routers and runners of a small deployment.
class Deployment {
public:
  explicit Deployment(RunOptions Options);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  auto operator=(const Deployment &) -> Deployment & = delete;

  /// One tenant with the key `k`, and more tokens than a run can use.
  static constexpr auto DefaultTenants = R"([{"name":"w","apiKeys":["k"],"prepaid":400000000}])";

  /// Writes a configuration with one streaming route.
  /// The tenants are a JSON list.
  auto configure(int Version, const std::string &Tenants = DefaultTenants) -> void;
  auto addRouters(int Count, int MemoryMb) -> void;
  auto addEngine(const std::string &Service, EngineTimes Times) -> EngineVm &;

  /// Starts the routers and waits until all are ready. Returns false if one does not become ready.
  auto startRouters() -> bool;

  [[nodiscard]] auto store() -> standins::StoreStandin & { return *m_Store; }
  [[nodiscard]] auto routers() -> std::vector<std::unique_ptr<RouterVm>> & { return m_Routers; }
  [[nodiscard]] auto engines() -> std::vector<std::unique_ptr<EngineVm>> & { return m_Engines; }
  [[nodiscard]] auto storePort() const -> int { return m_StorePort; }

private:
  RunOptions m_Options;
  std::filesystem::path m_Folder;
  boost::asio::io_context m_Loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_Guard;
  int m_StorePort;
  std::unique_ptr<standins::StoreStandin> m_Store;
  std::thread m_Thread;
  std::vector<std::unique_ptr<RouterVm>> m_Routers;
  std::vector<std::unique_ptr<EngineVm>> m_Engines;
};

} // namespace geraniumlift::review
