#pragma once

#include "process/childprocess.h"
#include "process/httpcall.h"
#include "process/tcprelay.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumlift::testing {

/// The built programs, from the build folder.
struct Programs {
  std::string m_Router;
  std::string m_Control;
  std::string m_KeyValue;
  std::string m_Engine;
  std::string m_Service;
};

struct FleetOptions {
  int m_Routers = 3;
  int m_Engines = 2;

  /// Requests that each engine runs side by side.
  int m_EngineSlots = 8;

  /// Budget name and its first top-up.
  std::map<std::string, std::int64_t> m_Budgets = {{"office", 100'000}};
  int m_CommitIntervalMs = 50;
  int m_BillHoldMs = 2'000;
  int m_EntryTimeToLiveMs = 1'000;

  /// Workspaces, each with a budget of its own, that nobody uses; they only take space.
  int m_IdleWorkspaces = 0;

  /// The last routers, this many, reach the key-value service through a relay that can be cut, and
  /// have another peer key than the rest, so that the two sides do not hear each other.
  int m_FarRouters = 0;
};

/// Real routers with stand-ins for platform and targets, on loopback ports that were free.
class Fleet {
public:
  explicit Fleet(FleetOptions Options = {});
  ~Fleet();

  /// Starts everything, publishes the objects and waits until every router is ready.
  auto start() -> void;

  /// Starts a router again after its end, or one more.
  auto startRouter(int Index) -> void;
  auto router(int Index) -> ChildProcess & { return *m_Routers.at(Index); }
  auto stopRouter(int Index) -> void { m_Routers.at(Index).reset(); }

  [[nodiscard]] auto callersUrl(int Index) const -> std::string;
  [[nodiscard]] auto operatorsUrl(int Index) const -> std::string;
  [[nodiscard]] auto keyValueUrl() const -> std::string;
  [[nodiscard]] auto engineUrl(int Index) const -> std::string;
  [[nodiscard]] auto serviceUrl() const -> std::string;
  [[nodiscard]] auto folder() const -> const std::string & { return m_Folder; }

  /// The network between the far routers and the key-value service.
  [[nodiscard]] auto relay() -> TcpRelay & { return *m_Relay; }

  /// Sends faults to a stand-in's /control.
  auto control(const std::string &Url, const std::string &Json) const -> void;

  /// Runs geraniumliftd --check on the first router's settings with more lines at their end.
  [[nodiscard]] auto checkSettings(const std::string &MoreLines) const -> ProgramResult;

  /// Runs geraniumctl against the stand-in.
  auto ctl(std::vector<std::string> Arguments) const -> ProgramResult;

  /// Puts VM names and states on the platform's list.
  auto setVmList(const std::map<std::string, std::string> &StateByVm) const -> void;

  /// A completion request to a router; the answer has Tokens tokens.
  [[nodiscard]] auto completion(int Router, int Tokens, const std::string &Key = "",
                                const std::string &Workspace = "office") const -> HttpCall;

  /// A booking with an idempotency key.
  [[nodiscard]] auto booking(int Router, const std::string &Key,
                             const std::string &Body = "{}") const -> HttpCall;

  struct Balance {
    std::int64_t m_ToppedUp = 0;
    std::int64_t m_Settled = 0;
    std::int64_t m_Granted = 0;
    std::int64_t m_Left = 0;
  };

  /// The budget as geraniumctl shows it.
  [[nodiscard]] auto balance(const std::string &Budget) const -> Balance;

  /// Executions per idempotency key as the service counts them.
  [[nodiscard]] auto executions(const std::string &Key) const -> std::int64_t;

private:
  struct RouterPorts {
    int m_Callers = 0;
    int m_Operators = 0;
    int m_Peers = 0;
  };

  [[nodiscard]] auto isFar(int Index) const -> bool {
    return Index >= m_Options.m_Routers - m_Options.m_FarRouters;
  }
  auto writeSettings(int Index) const -> std::string;
  auto writeObjects() const -> std::string;

  FleetOptions m_Options;
  Programs m_Programs;
  std::string m_Folder;
  int m_KeyValuePort = 0;
  int m_RelayPort = 0;
  int m_ServicePort = 0;
  std::vector<int> m_EnginePorts;
  std::vector<RouterPorts> m_RouterPorts;
  std::unique_ptr<TcpRelay> m_Relay;
  std::unique_ptr<ChildProcess> m_KeyValue;
  std::unique_ptr<ChildProcess> m_Service;
  std::vector<std::unique_ptr<ChildProcess>> m_Engines;
  std::vector<std::unique_ptr<ChildProcess>> m_Routers;
};

} // namespace geraniumlift::testing
