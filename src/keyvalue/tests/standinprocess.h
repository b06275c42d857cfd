#pragma once

#include <string>
#include <sys/types.h>

namespace geraniumlift::keyvalue {

/// The stand-in program on a free loopback port; ended by the destructor.
class StandinProcess {
public:
  /// Starts the program and waits until it listens.
  StandinProcess();
  ~StandinProcess();
  StandinProcess(const StandinProcess &) = delete;
  auto operator=(const StandinProcess &) -> StandinProcess & = delete;

  [[nodiscard]] auto url() const -> std::string { return m_Url; }

  /// Sends a JSON body to a path; returns the JSON text of the answer.
  auto send(const std::string &Method, const std::string &Path, const std::string &Body) const
      -> std::string;

  /// Switches faults.
  auto control(const std::string &Faults) const -> void { send("POST", "/control", Faults); }

private:
  std::string m_Url;
  pid_t m_Process = 0;
};

/// A port of the loopback address on which nothing listens.
auto freePort() -> unsigned short;

} // namespace geraniumlift::keyvalue
