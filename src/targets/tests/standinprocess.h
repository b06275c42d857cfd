#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace geraniumlift::targets {

/// A TCP port on loopback that was free a moment ago.
auto freePort() -> std::uint16_t;

/// A stand-in program that runs for the life of the object.
class StandinProcess {
public:
  /// Starts the program on a free port and waits until it answers.
  explicit StandinProcess(const std::string &Program, const std::vector<std::string> &Flags = {});
  ~StandinProcess();
  StandinProcess(const StandinProcess &) = delete;
  auto operator=(const StandinProcess &) -> StandinProcess & = delete;

  [[nodiscard]] auto url() const -> const std::string & { return m_Url; }

  /// Sets faults through POST /control.
  auto control(const std::string &Json) -> void;

  /// Reads a number of GET /counts, or of one of its objects; 0 if it is absent.
  [[nodiscard]] auto count(const std::string &Field, const std::string &Key = "") const
      -> std::int64_t;

  /// Ends the process at once, without closing its connections in order.
  auto kill() -> void;

private:
  std::string m_Url;
  pid_t m_Pid = -1;
};

} // namespace geraniumlift::targets
