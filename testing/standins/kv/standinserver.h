#pragma once

#include "etcdgateway.h"
#include "faults.h"
#include "weightstore.h"

#include "base/asioscheduler.h"
#include "base/nametable.h"
#include "base/systemclock.h"

#include <array>
#include <cpprest/http_listener.h>
#include <string>
#include <vector>

namespace geraniumlift::standin {

/// Kinds of calls that are counted and that faults apply to.
enum class PlatformCall { Read, Write, Lease, Vms, Weights };

inline constexpr auto PlatformCallNames = std::array{
    base::NamedValue<PlatformCall>{PlatformCall::Read, "read"},
    base::NamedValue<PlatformCall>{PlatformCall::Write, "write"},
    base::NamedValue<PlatformCall>{PlatformCall::Lease, "lease"},
    base::NamedValue<PlatformCall>{PlatformCall::Vms, "vms"},
    base::NamedValue<PlatformCall>{PlatformCall::Weights, "weights"},
};

struct StandinOptions {
  std::string m_ListenUrl;
  double m_WeightReadsPerSecond = 2.0;
};

/// The HTTP server of the stand-in. Calls are carried out one at a time on the scheduler's thread.
class StandinServer {
public:
  explicit StandinServer(const StandinOptions &Options);

  /// Begins to listen. Throws web::http::http_exception if the address is in use.
  auto open() -> void;
  auto close() -> void;

private:
  using Request = web::http::http_request;

  auto receive(const Request &Received) -> void;
  auto process(const Request &Received, const std::string &Body) -> void;
  auto processPlatformCall(PlatformCall Kind, const Request &Received, const std::string &Body)
      -> void;
  auto execute(PlatformCall Kind, const Request &Received, const std::string &Body) -> void;
  auto carryOut(PlatformCall Kind, const std::string &Path, const std::string &Body) -> Answer;
  auto setFaults(const std::string &Body) -> Answer;
  auto replaceVms(const std::string &Body) -> Answer;
  [[nodiscard]] auto counts() const -> Answer;

  base::SystemClock m_Clock;
  EtcdGateway m_Gateway;
  WeightStore m_WeightStore;
  Faults m_Faults;
  web::json::value m_Vms;
  std::array<std::int64_t, PlatformCallNames.size()> m_Counts{};

  /// Requests that are never answered. Dropping one would make the library answer it.
  std::vector<Request> m_Unanswered;
  web::http::experimental::listener::http_listener m_Listener;
  base::AsioScheduler m_Scheduler;
};

} // namespace geraniumlift::standin
