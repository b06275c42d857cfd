#include "streamversions/originlog.h"

#include <algorithm>
#include <fmt/format.h>

namespace geraniumlift::streamversions {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Time for which origins are collected for one write: a loss of all routers loses them.
constexpr auto WriteInterval = 250ms;
constexpr auto RetryDelay = 500ms;

/// Time for which one lease is used for new keys.
constexpr auto LeaseUse = 10000ms;

/// Most origins in one write and most that wait for the store.
constexpr auto MaxPerWrite = std::size_t{4000};
constexpr auto MaxPending = std::size_t{16000};

} // namespace

OriginLog::OriginLog(std::string Name, keyvalue::ITransactionStore &Store, base::ITimers &Timers,
                     const base::IClock &Clock, base::IEventLog &Log)
    : m_Name(std::move(Name)), m_Store(Store), m_Timers(Timers), m_Clock(Clock), m_Log(Log) {}

auto OriginLog::add(const OriginReport &Report) -> void {
  if (m_Pending.size() >= MaxPending) {
    m_Pending.erase(m_Pending.begin(), m_Pending.begin() + MaxPending / 4);
  }
  m_Pending.push_back(Report);
  scheduleWrite(WriteInterval);
}

auto OriginLog::setStoreReachable(bool IsReachable) -> void {
  m_IsStoreReachable = IsReachable;
  if (IsReachable && !m_Pending.empty()) {
    scheduleWrite(0ms);
  }
}

auto OriginLog::scheduleWrite(milliseconds Delay) -> void {
  if (m_IsCallInFlight || !m_IsStoreReachable || std::exchange(m_IsScheduled, true)) {
    return;
  }
  m_Timers.start(m_Clock.steadyNow() + Delay, [this] {
    m_IsScheduled = false;
    write();
  });
}

auto OriginLog::write() -> void {
  if (m_IsCallInFlight || m_Pending.empty() || !m_IsStoreReachable) {
    return;
  }
  m_IsCallInFlight = true;
  if (!m_Lease || m_Clock.steadyNow() >= m_LeaseUntil) {
    grantLease();
    return;
  }
  const auto Count = std::min(m_Pending.size(), MaxPerWrite);
  auto Request = keyvalue::Transaction();
  Request.m_Writes.push_back(
      {fmt::format("{}{}/{}", OriginPrefix, m_Name, ++m_LastChunk),
       encodeOrigins({m_Pending.begin(), m_Pending.begin() + static_cast<std::ptrdiff_t>(Count)}),
       m_Lease});
  m_Store.transact(std::move(Request), [this, Count](const keyvalue::TransactionResult &Result) {
    m_IsCallInFlight = false;
    onWritten(Result, Count);
  });
}

auto OriginLog::onWritten(const keyvalue::TransactionResult &Result, std::size_t Count) -> void {
  if (Result.m_Outcome == keyvalue::TransactionOutcome::LeaseEnded) {
    m_Lease.reset();
  }
  if (Result.m_Outcome != keyvalue::TransactionOutcome::Applied) {
    m_Log.record(base::LogLevel::Warning, "stream_origins_not_stored",
                 {{"outcome", nameOf(keyvalue::TransactionOutcomeNames, Result.m_Outcome)},
                  {"streams", m_Pending.size()}});
    scheduleWrite(RetryDelay);
    return;
  }
  // Some may have been dropped meanwhile; those at the front are stored or gone.
  m_Pending.erase(m_Pending.begin(), m_Pending.begin() + static_cast<std::ptrdiff_t>(
                                                             std::min(Count, m_Pending.size())));
  if (!m_Pending.empty()) {
    scheduleWrite(WriteInterval);
  }
}

auto OriginLog::grantLease() -> void {
  m_Store.grantLease(m_Life + LeaseUse, [this](const absl::StatusOr<keyvalue::LeaseId> &Lease) {
    m_IsCallInFlight = false;
    if (!Lease.ok()) {
      scheduleWrite(RetryDelay);
      return;
    }
    m_Lease = *Lease;
    m_LeaseUntil = m_Clock.steadyNow() + LeaseUse;
    write();
  });
}

auto OriginLog::read(std::function<void(std::optional<std::vector<OriginReport>>)> Done) -> void {
  m_Store.list(std::string(OriginPrefix), [this, Done = std::move(Done)](
                                              const absl::StatusOr<keyvalue::ListResult> &Result) {
    if (!Result.ok()) {
      Done(std::nullopt);
      return;
    }
    auto All = std::vector<OriginReport>();
    for (const auto &Item : Result->m_Items) {
      auto Part = decodeOrigins(Item.m_Value);
      if (Part.ok()) {
        All.insert(All.end(), Part->begin(), Part->end());
      } else {
        m_Log.record(base::LogLevel::Error, "stream_origins_unreadable",
                     {{"key", Item.m_Key}, {"reason", std::string(Part.status().message())}});
      }
    }
    Done(std::move(All));
  });
}

} // namespace geraniumlift::streamversions
