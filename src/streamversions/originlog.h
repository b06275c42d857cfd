#pragma once

#include "base/iclock.h"
#include "base/ieventlog.h"
#include "base/itimers.h"
#include "keyvalue/itransactionstore.h"
#include "streamversions/streamversiontypes.h"

#include <functional>
#include <optional>

namespace geraniumlift::streamversions {

/// Prefix of the keys under which origins of streams are stored.
inline constexpr std::string_view OriginPrefix = "geraniumlift/streams/";

/// Stores origins of streams, so that they outlive all routers. Several origins make one write. The
/// keys are removed by their lease.
class OriginLog {
public:
  /// The name must differ from that of every other process.
  OriginLog(std::string Name, keyvalue::ITransactionStore &Store, base::ITimers &Timers,
            const base::IClock &Clock, base::IEventLog &Log);

  /// Sets for how long origins are kept at least.
  auto setLife(std::chrono::milliseconds Life) -> void { m_Life = Life; }

  /// Adds an origin to the next write. While the store cannot be reached, the oldest ones are
  /// dropped.
  auto add(const OriginReport &Report) -> void;

  auto setStoreReachable(bool IsReachable) -> void;

  /// Reads all stored origins; nothing if the store did not answer.
  auto read(std::function<void(std::optional<std::vector<OriginReport>>)> Done) -> void;

  /// Number of origins that are not stored yet.
  [[nodiscard]] auto pending() const -> std::size_t { return m_Pending.size(); }

private:
  auto scheduleWrite(std::chrono::milliseconds Delay) -> void;
  auto write() -> void;
  auto grantLease() -> void;
  auto onWritten(const keyvalue::TransactionResult &Result, std::size_t Count) -> void;

  std::string m_Name;
  keyvalue::ITransactionStore &m_Store;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  std::chrono::milliseconds m_Life{30000};
  std::vector<OriginReport> m_Pending;
  std::uint64_t m_LastChunk = 0;

  /// The lease of new keys, and until when it is used.
  std::optional<keyvalue::LeaseId> m_Lease;
  base::SteadyTime m_LeaseUntil;
  bool m_IsScheduled = false;
  bool m_IsCallInFlight = false;
  bool m_IsStoreReachable = true;
};

} // namespace geraniumlift::streamversions
