#pragma once

#include "httpserver.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// One router process on loopback, started with the command of the deploy file and settings like
/// those of a small deployment.
class Router {
public:
  /// Folder: an existing folder for its settings and its log. DrainTime: the bound `drainMs` that
  /// the platform puts into the settings.
  Router(std::string Name, const std::string &Folder, int StorePort,
         std::chrono::milliseconds DrainTime);
  ~Router();
  Router(const Router &) = delete;
  auto operator=(const Router &) -> Router & = delete;

  auto start() -> void;

  /// Sends SIGKILL and waits for the end.
  auto kill() -> void;

  /// Whether its readiness address answers 200.
  [[nodiscard]] auto isReady() const -> bool;
  [[nodiscard]] auto port() const -> int { return m_CallerPort; }
  [[nodiscard]] auto name() const -> const std::string & { return m_Name; }

  /// The lines of its log that hold one of the words, at most Most of them.
  [[nodiscard]] auto linesWith(const std::vector<std::string> &Words, std::size_t Most) const
      -> std::vector<std::string>;

private:
  std::string m_Name;
  std::string m_SettingsFile;
  std::string m_LogFile;
  int m_CallerPort = freePort();
  int m_ReadinessPort = freePort();
  pid_t m_Pid = -1;
};

/// Waits until all are ready. Returns false if they are not before the timeout.
auto waitUntilReady(const std::vector<std::unique_ptr<Router>> &Routers,
                    std::chrono::milliseconds Timeout) -> bool;

} // namespace review
