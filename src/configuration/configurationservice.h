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

  /// Shortest time between two polls of a router that polls because it hears no poller. A random
  /// part of the same length is added, so that routers cut off together do not poll together.
  std::chrono::milliseconds m_FallbackInterval{5'000};

  /// Seeds the random part.
  std::uint64_t m_Seed = 0;
};

/// A live router of the same data centre, as this router has heard of it.
struct PeerPollActivity {
  std::string m_Vm;

  /// When the newest sign arrived that the peer polls: its heartbeat, or its report of a successful
  /// poll where heartbeats carry one.
  base::SteadyTime m_LastHeard;
};

/// Keeps this router on the newest accepted configuration. Polls the key-value service when this
/// router should, and takes snapshots from peers. Only a higher generation is adopted. Thread-safe;
/// observers run on the scheduler. The store, the scheduler and the clock must outlive the service
/// and the calls it has in flight.
class ConfigurationService final : public IConfigurationSource {
public:
  ConfigurationService(keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
                       const base::IClock &Clock, ConfigurationOptions Options);
  ~ConfigurationService() override;

  /// Begins to poll: at once, then at the poll interval.
  auto start() -> void;

  /// Replaces what is known of the live routers of the data centre.
  auto updatePeers(std::vector<PeerPollActivity> Peers) -> void;

  [[nodiscard]] auto current() const -> SnapshotPointer override;
  auto subscribe(Observer Observe) -> void override;

  /// Hashes of the chunks of the current snapshot, for a peer that serializes a newer one.
  [[nodiscard]] auto knownChunks() const -> std::vector<std::string>;

  /// The current snapshot without the chunks that the receiver has; empty before the first one.
  [[nodiscard]] auto serialize(const std::vector<std::string> &KnownChunks = {}) const
      -> std::string;

  /// Adopts a peer's snapshot if it is newer. Errors leave the current one in force:
  /// InvalidArgument for malformed bytes or a set that does not check, FailedPrecondition if a
  /// chunk is missing; the receiver then asks again without known chunks.
  auto adoptSerialized(std::string_view Bytes) -> absl::Status;

  /// Whether this router polls, for operators.
  [[nodiscard]] auto pollRole() const -> PollRole;

  /// When this router last read the manifest, for its heartbeats; nothing before the first time.
  [[nodiscard]] auto lastPoll() const -> std::optional<base::SteadyTime>;

private:
  class State;
  std::shared_ptr<State> m_State;
};

} // namespace geraniumlift::configuration
