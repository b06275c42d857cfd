#pragma once

#include "membership/membershiptypes.h"

#include <absl/status/statusor.h>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::membership {

/// The routers of the fleet as this router knows them. Thread-safe; callbacks run on the
/// membership's own thread and must not block.
class IMembership {
public:
  using SnapshotCallback = std::function<void(absl::StatusOr<std::string>)>;
  using SnapshotProvider = std::function<std::string()>;
  using GenerationObserver = std::function<void(const PeerEntry &)>;

  virtual ~IMembership() = default;

  /// All other routers that are not forgotten, in order of VM names.
  [[nodiscard]] virtual auto peers() const -> std::vector<PeerView> = 0;

  /// Addresses for callers near the data centre: its own routers first, then all others, each group
  /// rotated from call to call so that callers spread. This router is among them while it is up;
  /// suspected and draining routers are not.
  [[nodiscard]] virtual auto entryList(std::string_view DataCentre)
      -> std::vector<EntryAddress> = 0;

  /// Announces the generation of the configuration in force here.
  virtual auto setLocalGeneration(std::uint64_t Generation) -> void = 0;

  /// Announces whether this router takes new callers.
  virtual auto setLocalState(PeerState State) -> void = 0;

  /// Announces allowance held here, most useful first; what exceeds the limits of an entry is left
  /// out.
  virtual auto setLocalBudgets(std::vector<AdvertisedBudget> Budgets) -> void = 0;

  /// Calls the observer when a peer announces a generation above the local one, and above the last
  /// one announced by that peer.
  virtual auto onHigherGeneration(GenerationObserver Observer) -> void = 0;

  /// Sets the function that gives the bytes of the current snapshot to peers.
  virtual auto setSnapshotProvider(SnapshotProvider Provider) -> void = 0;

  /// Reads the snapshot of a peer, at most 64 MB. The callback runs exactly once: with
  /// Unavailable if the peer cannot be reached, DeadlineExceeded, Unauthenticated, or
  /// ResourceExhausted if the snapshot is too large.
  virtual auto fetchSnapshot(const std::string &PeerAddress, SnapshotCallback Done) -> void = 0;

  [[nodiscard]] virtual auto traffic() const -> TrafficCounts = 0;
};

} // namespace geraniumlift::membership
