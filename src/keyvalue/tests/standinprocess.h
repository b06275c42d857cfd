#pragma once

#include <string>
#include <sys/types.h>

namespace geraniumlift::keyvalue {

/// The stand-in key-value service as a child process on a free loopback port. The destructor
/// terminates it.
class StandinProcess {
public:
  /// Starts the process and waits until it responds, for 200 attempts at most.
  StandinProcess();
  ~StandinProcess();
  StandinProcess(const StandinProcess &) = delete;
  auto operator=(const StandinProcess &) -> StandinProcess & = delete;

  [[nodiscard]] auto url() const -> std::string { return m_Url; }

  /// Sends a JSON body to a path; returns the JSON text of the response.
  auto send(const std::string &Method, const std::string &Path, const std::string &Body) const
      -> std::string;

  /// Sets the faults that the stand-in injects, as a JSON object.
  auto control(const std::string &Faults) const -> void { send("POST", "/control", Faults); }

private:
  std::string m_Url;
  pid_t m_Process = 0;
};

/// A loopback port on which nothing was listening at the time of the call.
auto freePort() -> unsigned short;

} // namespace geraniumlift::keyvalue
