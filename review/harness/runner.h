#pragma once

#include "store.h"

namespace review {

/// What a runner does with a request.
struct RunnerOptions {
  std::string m_Id;
  std::string m_Service;

  /// Events of a stream, tokens in each, and the time between two; no events: a plain service that
  /// answers after that time.
  int m_Events = 0;
  int m_TokensPerEvent = 0;
  std::chrono::milliseconds m_EventTime{10};
};

/// One run of a request at a runner.
struct Run {
  std::string m_RequestId;
  std::string m_Runner;
  std::string m_Service;
  std::string m_Tenant;
  std::chrono::steady_clock::time_point m_Time;
};

/// A sound runner: registers itself in the store, beats every 1,200 ms, answers 421 to requests
/// that expect another runner, and runs all others.
class Runner {
public:
  Runner(Store &Registry, RunnerOptions Options);
  ~Runner();
  Runner(const Runner &) = delete;
  auto operator=(const Runner &) -> Runner & = delete;

  /// Reports that the runner is leaving. It goes on serving.
  auto drain() -> void;

  [[nodiscard]] auto runs() -> std::vector<Run>;
  [[nodiscard]] auto id() const -> const std::string & { return m_Options.m_Id; }

private:
  auto beat() -> void;
  auto writeEntry() -> void;
  auto handle(const Connection &Caller, const Message &Request) -> bool;
  auto stream(const Connection &Caller, const Message &Request) const -> bool;

  Store &m_Store;
  RunnerOptions m_Options;
  std::int64_t m_Born;
  std::mutex m_Mutex;
  std::condition_variable m_Stopped;
  bool m_IsStopping = false;
  bool m_IsDraining = false;
  int m_Sequence = 0;
  std::vector<Run> m_Runs;
  HttpServer m_Server;
  std::thread m_Beats;
};

} // namespace review
