#pragma once

#include "base/iclock.h"
#include "base/ieventlog.h"
#include "base/itimers.h"
#include "base/random.h"
#include "budget/ibudgetreserver.h"
#include "forwarding/forwardingtypes.h"
#include "forwarding/iforwardingmetrics.h"
#include "forwarding/placement.h"
#include "forwarding/routingtable.h"
#include "retry/retrybudget.h"

namespace geraniumlift::forwarding {

/// Limits of the forwarding path.
struct ForwardingOptions {
  /// A repeatable request is sent elsewhere if its target has not answered after this multiple of
  /// the route's objective, or of the forecast if that is longer. Giving up earlier loses the work
  /// of targets that are only busy.
  double m_SilenceFactor = 2.0;
  double m_ForecastFactor = 4.0;

  /// A resumable stream goes on elsewhere after a pause of this length. Callers give up on a stream
  /// after a gap of two seconds; half of that leaves time for the other target.
  std::chrono::milliseconds m_StreamPauseLimit{1000};

  /// Pause after which a caller may come back when the cause may pass quickly. Spread at random up
  /// to twice this, so that refused callers do not return together.
  std::chrono::milliseconds m_ShortRetryPause{100};

  /// Pause after which a caller may come back when tokens of the budget must first be released.
  std::chrono::milliseconds m_BudgetRetryPause{400};

  /// Longest wait for tokens of a budget, so that a refused caller still has time for another
  /// router.
  std::chrono::milliseconds m_LongestBudgetWait{400};

  /// A target's answer that is sent on as a whole may have this many bytes.
  std::size_t m_MaxWholeAnswerBytes = std::size_t{4} * 1024 * 1024;

  /// Reading from a target stops while this many bytes wait for the caller.
  std::size_t m_MaxUnsentBytes = std::size_t{256} * 1024;

  /// Requests served at a time; more are refused. Bounds memory.
  std::size_t m_MaxSessions = 1500;

  /// Bytes of request bodies held at a time; more are refused. Bounds memory.
  std::size_t m_MaxBodyBytes = std::size_t{24} * 1024 * 1024;

  retry::RetryOptions m_Retry;
};

/// What all sessions of one router share. Everything runs on one thread.
struct ForwardingContext {
  const base::IClock &m_Clock;
  base::ITimers &m_Timers;
  const IMessageDialect &m_Dialect;
  ITargetConnector &m_Connector;
  budget::IBudgetReserver &m_Budgets;
  base::IEventLog &m_Log;
  IForwardingMetrics &m_Metrics;
  TargetTable &m_Targets;
  const Placement &m_Placement;
  ForwardingOptions m_Options;
  base::RandomEngine m_Random;

  /// The version in force; empty until one is known.
  RoutingTablePtr m_Table = {};

  /// Set when the router has stopped taking requests.
  bool m_IsStopping = false;

  /// One budget of repeated sends for each pool.
  std::map<std::string, retry::RetryBudget> m_RetryBudgets = {};

  std::size_t m_Sessions = 0;
  std::size_t m_BodyBytes = 0;

  /// The pool's budget of repeated sends.
  auto retryBudget(const std::string &Pool) -> retry::RetryBudget & {
    return m_RetryBudgets.try_emplace(Pool, m_Options.m_Retry).first->second;
  }
};

} // namespace geraniumlift::forwarding
