#pragma once

#include "base/bufferlimit.h"
#include "base/iclock.h"
#include "base/ieventlog.h"
#include "base/itimers.h"
#include "base/random.h"
#include "budget/ibudgetreserver.h"
#include "forwarding/forwardingtypes.h"
#include "forwarding/iforwardingmetrics.h"
#include "forwarding/placement.h"
#include "forwarding/routingtable.h"
#include "quarantine/ipromptquarantine.h"
#include "retry/retrybudget.h"

#include <functional>

namespace geraniumlift::forwarding {

/// Limits and timeouts of request forwarding.
struct ForwardingOptions {
  /// A retryable request is sent to another target if no response has begun after
  /// m_ObjectiveTimeoutFactor times the route's objective or m_ForecastTimeoutFactor times the
  /// forecast wait, whichever is longer. Shorter timeouts discard the work of targets that are only
  /// busy.
  double m_ObjectiveTimeoutFactor = 2.0;
  double m_ForecastTimeoutFactor = 4.0;

  /// A resumable stream resumes at another target when no event arrives for this long. Callers give
  /// up on a stream after a gap of two seconds; half of that leaves time for the other target.
  std::chrono::milliseconds m_StreamIdleTimeout{1000};

  /// Base of the Retry-After value of refusals with status 503. The value is drawn at random
  /// between this and twice this, so that refused callers do not retry at the same time.
  std::chrono::milliseconds m_RetryAfterBase{100};

  /// Base of the Retry-After value when tokens of the budget must be released first.
  std::chrono::milliseconds m_BudgetRetryAfterBase{400};

  /// Base of the Retry-After value when this router reaches hardly any target: about the time until
  /// its link has emptied.
  std::chrono::milliseconds m_UnreachableRetryAfterBase{500};

  /// Longest wait for tokens of a budget. It is bounded so that a refused caller still has time to
  /// try another router.
  std::chrono::milliseconds m_MaxBudgetWait{400};

  /// Permits that one request asks for, one after the other, until one is granted.
  int m_MaxPermitRequests = 3;

  /// Attempts to connect that may fail before a request that was never sent is refused.
  int m_MaxConnectFailures = 4;

  /// As above, for attempts that failed because of this router's links or of the router that was to
  /// carry the connection. Of a data centre that is cut off, each router is asked once.
  int m_MaxPathFailures = 8;

  /// Maximum body size of a response that is buffered before it is sent to the caller.
  std::size_t m_MaxBufferedResponseBytes = std::size_t{4} * 1024 * 1024;

  /// Maximum total size of the responses that are buffered, and of incomplete events. If there is
  /// more, the request whose response takes most fails.
  std::size_t m_MaxResponseBytes = std::size_t{16} * 1024 * 1024;

  /// Maximum size of one event of a stream. A target that sends more without ending the event has
  /// failed.
  std::size_t m_MaxEventBytes = std::size_t{256} * 1024;

  /// Reading from a target pauses when more than this many bytes are unsent to the caller, and
  /// resumes when all of them are sent.
  std::size_t m_MaxUnsentBytes = std::size_t{256} * 1024;

  /// Maximum number of concurrent requests; more are refused. Bounds memory.
  std::size_t m_MaxSessions = 1500;

  /// Maximum total size of the request bodies in memory; more are refused. Bounds memory.
  std::size_t m_MaxBodyBytes = std::size_t{24} * 1024 * 1024;

  retry::RetryOptions m_Retry;
};

/// How old a router's knowledge of targets and configuration is, and where it comes from.
struct KnowledgeOrigin {
  /// Time since the store confirmed the knowledge.
  std::chrono::milliseconds m_Age{0};

  /// Name of the relay that passed the knowledge on; empty if the store told this router itself.
  std::string m_Relay;
};

/// Finds out from the store whether a target's process is still the one that is registered. The
/// callback runs once, within the call or later.
using TargetCheck = std::function<void(const TargetRecord &, std::function<void(bool IsSame)>)>;

/// State shared by all sessions of one router. Not thread-safe: everything runs on one thread.
struct ForwardingContext {
  const base::IClock &m_Clock;
  base::ITimers &m_Timers;
  const IHeaderCodec &m_HeaderCodec;
  ITargetConnector &m_Connector;
  budget::IBudgetReserver &m_Budgets;
  base::IEventLog &m_Log;
  IForwardingMetrics &m_Metrics;
  quarantine::IPromptQuarantine &m_Quarantine;
  ratelimits::ITargetLimits &m_Limits;
  streamversions::IStreamVersions &m_StreamVersions;
  TargetTable &m_Targets;
  const Placement &m_Placement;
  TargetGate &m_Gate;
  ForwardingOptions m_Options;
  base::RandomEngine m_Random;

  /// Current routing table; null until the first one is known.
  RoutingTablePtr m_Table = {};

  /// Whether the router refuses new requests because it is stopping.
  bool m_IsStopping = false;

  /// Tells the origin of what is known, for the log.
  std::function<KnowledgeOrigin()> m_KnowledgeOrigin = [] { return KnowledgeOrigin(); };

  /// Checks the target that a stream is to continue at. Its ID and address may be those of a new
  /// process with another software version, of which this router has not heard.
  TargetCheck m_TargetCheck = [](const TargetRecord &, const std::function<void(bool)> &Done) {
    Done(true);
  };

  /// Retry budgets by pool name.
  std::map<std::string, retry::RetryBudget> m_RetryBudgets = {};

  /// Counts what targets have sent and callers cannot be sent yet.
  base::BufferLimit m_ResponseBuffers = base::BufferLimit(m_Options.m_MaxResponseBytes);

  std::size_t m_SessionCount = 0;

  /// Total size of the request bodies of all sessions.
  std::size_t m_BodyBytes = 0;

  /// Returns the pool's retry budget, with the options that are in force now, and creates it on
  /// first use.
  auto retryBudget(const std::string &Pool) -> retry::RetryBudget & {
    const auto [Found, IsNew] = m_RetryBudgets.try_emplace(Pool, m_Options.m_Retry);
    if (IsNew) {
      m_Log.record(base::LogLevel::Info, "retry_budget_opened",
                   {{"pool", Pool},
                    {"share", m_Options.m_Retry.m_Share},
                    {"burst", m_Options.m_Retry.m_Burst}});
    }
    Found->second.setOptions(m_Options.m_Retry);
    return Found->second;
  }
};

} // namespace geraniumlift::forwarding
