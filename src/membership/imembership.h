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

  /// All other known routers, suspected ones included, in the order of their VM names.
  [[nodiscard]] virtual auto peers() const -> std::vector<PeerView> = 0;

  /// Addresses for callers near the data centre: its own routers first, then all others, each group
  /// rotated from call to call so that callers spread. This router is among them while it is up;
  /// suspected and draining routers are not.
  [[nodiscard]] virtual auto entryList(std::string_view DataCentre)
      -> std::vector<EntryAddress> = 0;

  /// Sets the generation of the configuration in force that this router announces.
  virtual auto setLocalGeneration(std::uint64_t Generation) -> void = 0;

  /// Sets the announced state: whether this router takes new callers.
  virtual auto setLocalState(PeerState State) -> void = 0;

  /// Sets the announced budgets that this router holds, most useful first. Budgets that exceed the
  /// limits of an entry are left out.
  virtual auto setLocalBudgets(std::vector<AdvertisedBudget> Budgets) -> void = 0;

  /// Adds an observer, which is called when a peer announces a generation above the local one and
  /// above the last one that this peer announced.
  virtual auto onHigherGeneration(GenerationObserver Observer) -> void = 0;

  /// Sets the function that returns the current snapshot, which is sent to peers on request.
  virtual auto setSnapshotProvider(SnapshotProvider Provider) -> void = 0;

  /// Fetches the snapshot of a peer, at most 64 MB. The callback runs exactly once, with the
  /// snapshot or an error: InvalidArgument for a malformed address, Unavailable if the peer cannot
  /// be reached, DeadlineExceeded if it does not answer in time, Unauthenticated if the response
  /// has the wrong code or nonce, ResourceExhausted if the snapshot is too large, and Cancelled if
  /// the membership is closed. For a malformed address it runs on the caller's thread, before the
  /// call returns.
  virtual auto fetchSnapshot(const std::string &PeerAddress, SnapshotCallback Done) -> void = 0;

  [[nodiscard]] virtual auto traffic() const -> TrafficCounts = 0;
};

} // namespace geraniumlift::membership
