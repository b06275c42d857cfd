#pragma once

#include "base/iclock.h"
#include "base/ischeduler.h"
#include "configuration/iconfigurationsource.h"
#include "configuration/polldecision.h"
#include "keyvalue/ikeyvaluestore.h"

#include <absl/status/status.h>
#include <memory>
#include <optional>
#include <string_view>

namespace geraniumlift::configuration {

struct ConfigurationOptions {
  /// Name of the VM that this router runs on.
  std::string m_Vm;

  /// Time between two polls of a designated poller.
  std::chrono::milliseconds m_PollInterval{1'000};

  /// Shortest time between two polls of a router that polls because it hears from no designated
  /// poller. A random delay of up to the same length is added, so that routers that lose their
  /// pollers at the same time do not poll at the same time.
  std::chrono::milliseconds m_FallbackInterval{5'000};

  /// Seed of the random delay.
  std::uint64_t m_Seed = 0;
};

/// A live router of the same data centre and when it was last known to poll.
struct PeerPollActivity {
  std::string m_Vm;

  /// Arrival time of the latest evidence that the peer polls: its heartbeat or, where heartbeats
  /// carry one, its report of a successful poll.
  base::SteadyTime m_LastHeard;
};

/// Keeps this router on the newest accepted configuration. Polls the key-value service if
/// shouldPoll selects this router, and accepts snapshots from peers. Only a higher generation is
/// adopted. Thread-safe; observers run on the scheduler. The store, the scheduler and the clock
/// must outlive the service and its calls in flight.
class ConfigurationService final : public IConfigurationSource {
public:
  ConfigurationService(keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
                       const base::IClock &Clock, ConfigurationOptions Options);
  ~ConfigurationService() override;

  /// Starts polling: immediately, then at the poll interval.
  auto start() -> void;

  /// Replaces the list of live routers of the data centre.
  auto updatePeers(std::vector<PeerPollActivity> Peers) -> void;

  [[nodiscard]] auto current() const -> SnapshotPointer override;
  auto subscribe(Observer Observe) -> void override;

  /// Hashes of the current snapshot's chunks, which a peer can leave out when it serializes a newer
  /// snapshot for this router.
  [[nodiscard]] auto knownChunks() const -> std::vector<std::string>;

  /// Serializes the current snapshot without the chunks that the receiver already has. Returns an
  /// empty string before the first snapshot is adopted.
  [[nodiscard]] auto serialize(const std::vector<std::string> &KnownChunks = {}) const
      -> std::string;

  /// Adopts a peer's snapshot if it is newer. Returns OK and ignores it if it is not. Errors leave
  /// the current snapshot in force: InvalidArgument for malformed bytes or an invalid set,
  /// FailedPrecondition if a chunk is missing; the receiver then asks again without known chunks.
  auto adoptSerialized(std::string_view Bytes) -> absl::Status;

  /// Whether and why this router polls, for display to operators.
  [[nodiscard]] auto pollRole() const -> PollRole;

  /// When this router last polled successfully, for its heartbeats; nullopt before the first time.
  [[nodiscard]] auto lastPoll() const -> std::optional<base::SteadyTime>;

private:
  class State;
  std::shared_ptr<State> m_State;
};

} // namespace geraniumlift::configuration
