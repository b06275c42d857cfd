#include "configuration/configurationservice.h"

#include "base/log.h"
#include "configuration/peersnapshot.h"
#include "configuration/snapshotreader.h"

#include <algorithm>
#include <mutex>
#include <random>

namespace geraniumlift::configuration {

namespace {

auto emptySnapshot() -> LoadedSnapshotPointer {
  auto Loaded = std::make_shared<LoadedSnapshot>();
  Loaded->m_Snapshot = std::make_shared<const Snapshot>();
  return Loaded;
}

} // namespace

/// State of the service. Pending callbacks hold weak references to it.
class ConfigurationService::State : public std::enable_shared_from_this<State> {
public:
  State(keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler, const base::IClock &Clock,
        ConfigurationOptions Options)
      : m_Scheduler(Scheduler), m_Clock(Clock), m_Options(std::move(Options)), m_Reader(Store),
        m_Random(m_Options.m_Seed), m_StartTime(Clock.steadyNow()) {}

  /// Restarts the poll timer and polls if a poll is due.
  auto onPollTimer() -> void {
    m_Scheduler.after(m_Options.m_PollInterval, [Weak = weak_from_this()] {
      if (const auto Self = Weak.lock()) {
        Self->onPollTimer();
      }
    });
    if (tryBeginPoll()) {
      poll();
    }
  }

  auto updatePeers(std::vector<PeerPollActivity> Peers) -> void {
    const auto Lock = std::lock_guard(m_Mutex);
    m_Peers = std::move(Peers);
  }

  auto current() const -> LoadedSnapshotPointer {
    const auto Lock = std::lock_guard(m_Mutex);
    return m_Loaded;
  }

  auto subscribe(Observer Observe) -> void {
    const auto Lock = std::lock_guard(m_Mutex);
    m_Observers.push_back(std::move(Observe));
  }

  /// Makes a snapshot the current one if it is newer. Notifications are posted under the lock, so
  /// that observers see snapshots in the order of adoption.
  auto adopt(const LoadedSnapshotPointer &Loaded) -> void {
    const auto Lock = std::lock_guard(m_Mutex);
    if (Loaded->m_Snapshot->m_Generation <= m_Loaded->m_Snapshot->m_Generation) {
      return;
    }
    m_Loaded = Loaded;
    m_Reader.replaceCachedChunks(Loaded->m_Chunks);
    m_Scheduler.post([Weak = weak_from_this(), Adopted = Loaded->m_Snapshot] {
      if (const auto Self = Weak.lock()) {
        Self->notify(Adopted);
      }
    });
  }

  auto pollRole() const -> PollRole {
    const auto Lock = std::lock_guard(m_Mutex);
    return decideRole();
  }

  auto lastPoll() const -> std::optional<base::SteadyTime> {
    const auto Lock = std::lock_guard(m_Mutex);
    return m_LastPoll;
  }

private:
  auto notify(const SnapshotPointer &Adopted) -> void {
    auto Observers = std::vector<Observer>();
    {
      const auto Lock = std::lock_guard(m_Mutex);
      Observers = m_Observers;
    }
    for (const auto &Observe : Observers) {
      Observe(Adopted);
    }
  }

  /// Time since the last news from another designated poller, or since the service was created.
  auto sincePollerHeard(const std::vector<std::string> &Vms) const -> base::SteadyTime::duration {
    const auto Pollers = designatedPollers(Vms);
    auto Heard = m_StartTime;
    for (const auto &Peer : m_Peers) {
      if (std::find(Pollers.begin(), Pollers.end(), Peer.m_Vm) != Pollers.end()) {
        Heard = std::max(Heard, Peer.m_LastHeard);
      }
    }
    return m_Clock.steadyNow() - Heard;
  }

  auto decideRole() const -> PollRole {
    auto Vms = std::vector<std::string>{m_Options.m_Vm};
    for (const auto &Peer : m_Peers) {
      Vms.push_back(Peer.m_Vm);
    }
    return shouldPoll(m_Options.m_Vm, Vms, sincePollerHeard(Vms));
  }

  /// Returns whether a poll is due and none is in flight; if so, marks one as in flight.
  auto tryBeginPoll() -> bool {
    const auto Lock = std::lock_guard(m_Mutex);
    const auto Role = decideRole();
    const auto IsDue =
        Role == PollRole::Designated || (Role == PollRole::Fallback && isFallbackDue());
    if (Role != PollRole::Fallback) {
      m_NextFallbackPoll.reset();
    }
    if (!IsDue || m_IsPollInFlight) {
      return false;
    }
    m_IsPollInFlight = true;
    return true;
  }

  auto randomJitter() -> std::chrono::milliseconds {
    auto Draw =
        std::uniform_int_distribution<std::int64_t>(0, m_Options.m_FallbackInterval.count());
    return std::chrono::milliseconds{Draw(m_Random)};
  }

  auto isFallbackDue() -> bool {
    const auto Now = m_Clock.steadyNow();
    if (!m_NextFallbackPoll) {
      m_NextFallbackPoll = Now + randomJitter();
    }
    if (Now < *m_NextFallbackPoll) {
      return false;
    }
    m_NextFallbackPoll = Now + m_Options.m_FallbackInterval + randomJitter();
    return true;
  }

  auto poll() -> void {
    m_Reader.readNewer(current()->m_Snapshot->m_Generation,
                       [Weak = weak_from_this()](const auto &Result) {
                         if (const auto Self = Weak.lock()) {
                           Self->onPollResult(Result);
                         }
                       });
  }

  auto onPollResult(const absl::StatusOr<LoadedSnapshotPointer> &Result) -> void {
    if (Result.ok() && *Result) {
      adopt(*Result);
    }
    const auto Lock = std::lock_guard(m_Mutex);
    m_IsPollInFlight = false;
    if (Result.ok()) {
      m_LastPoll = m_Clock.steadyNow();
    }
    logStatusChange(Result.status());
  }

  /// Logs a poll's status if its code differs from that of the previous poll.
  auto logStatusChange(const absl::Status &Status) -> void {
    if (Status.ok() == m_LastPollStatus.ok() && Status.code() == m_LastPollStatus.code()) {
      return;
    }
    base::logEvent(Status.ok() ? base::LogLevel::Info : base::LogLevel::Warning,
                   Status.ok() ? "configuration_poll_recovered" : "configuration_poll_failed",
                   {{"status", Status.ToString()}});
    m_LastPollStatus = Status;
  }

  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  const ConfigurationOptions m_Options;
  SnapshotReader m_Reader;

  /// Guards all members below.
  mutable std::mutex m_Mutex;
  std::mt19937_64 m_Random;
  base::SteadyTime m_StartTime;
  LoadedSnapshotPointer m_Loaded = emptySnapshot();
  std::vector<Observer> m_Observers;
  std::vector<PeerPollActivity> m_Peers;
  std::optional<base::SteadyTime> m_NextFallbackPoll;
  std::optional<base::SteadyTime> m_LastPoll;
  absl::Status m_LastPollStatus;
  bool m_IsPollInFlight = false;
};

ConfigurationService::ConfigurationService(keyvalue::IKeyValueStore &Store,
                                           base::IScheduler &Scheduler, const base::IClock &Clock,
                                           ConfigurationOptions Options)
    : m_State(std::make_shared<State>(Store, Scheduler, Clock, std::move(Options))) {}

ConfigurationService::~ConfigurationService() = default;

auto ConfigurationService::start() -> void { m_State->onPollTimer(); }

auto ConfigurationService::updatePeers(std::vector<PeerPollActivity> Peers) -> void {
  m_State->updatePeers(std::move(Peers));
}

auto ConfigurationService::current() const -> SnapshotPointer {
  return m_State->current()->m_Snapshot;
}

auto ConfigurationService::subscribe(Observer Observe) -> void {
  m_State->subscribe(std::move(Observe));
}

auto ConfigurationService::knownChunks() const -> std::vector<std::string> {
  return m_State->current()->m_Manifest.m_ChunkHashes;
}

auto ConfigurationService::serialize(const std::vector<std::string> &KnownChunks) const
    -> std::string {
  const auto Loaded = m_State->current();
  return Loaded->m_Snapshot->m_Generation == 0 ? std::string()
                                               : encodePeerSnapshot(*Loaded, KnownChunks);
}

auto ConfigurationService::adoptSerialized(std::string_view Bytes) -> absl::Status {
  const auto Loaded = decodePeerSnapshot(Bytes, m_State->current()->m_Chunks);
  if (!Loaded.ok()) {
    return Loaded.status();
  }
  m_State->adopt(*Loaded);
  return absl::OkStatus();
}

auto ConfigurationService::pollRole() const -> PollRole { return m_State->pollRole(); }

auto ConfigurationService::lastPoll() const -> std::optional<base::SteadyTime> {
  return m_State->lastPoll();
}

} // namespace geraniumlift::configuration
