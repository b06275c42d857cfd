#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace geraniumlift::targets {

/// Returns a TCP port that was free on loopback at the time of the call. It is not reserved.
auto freePort() -> std::uint16_t;

/// Runs a stand-in program as a child process for the lifetime of the object.
class StandinProcess {
public:
  /// Starts the program on a free port and waits until it answers. Throws if it does not.
  explicit StandinProcess(const std::string &Program, const std::vector<std::string> &Flags = {});
  ~StandinProcess();
  StandinProcess(const StandinProcess &) = delete;
  auto operator=(const StandinProcess &) -> StandinProcess & = delete;

  [[nodiscard]] auto url() const -> const std::string & { return m_Url; }

  /// Injects faults through POST /control.
  auto control(const std::string &Json) -> void;

  /// Reads a number from GET /counts. With a key, the field is an object and the number is the one
  /// under this key, or 0 if the key is absent.
  [[nodiscard]] auto count(const std::string &Field, const std::string &Key = "") const
      -> std::int64_t;

  /// Kills the process with SIGKILL, without an orderly shutdown of its connections.
  auto kill() -> void;

private:
  std::string m_Url;
  pid_t m_Pid = -1;
};

} // namespace geraniumlift::targets
