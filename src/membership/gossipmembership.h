#pragma once

#include "membership/imembership.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace geraniumlift::membership {

/// Settings of a router's membership.
struct MembershipOptions {
  std::string m_Vm;

  /// Number of this router process; must be higher than that of every earlier process on the VM.
  std::uint64_t m_Incarnation = 0;
  std::string m_DataCentre;

  /// Base URL that callers use.
  std::string m_CallerUrl;

  /// IP address and port for UDP and TCP, such as 10.0.0.1:7000.
  std::string m_PeerAddress;

  /// Peer addresses to contact first. This router's own address is ignored.
  std::vector<std::string> m_Seeds;

  /// Key of the message authentication codes, shared by all routers; must not be empty. A process
  /// that has it can send messages in the name of any router.
  std::string m_PeerKey;

  /// Time between heartbeat rounds.
  std::chrono::milliseconds m_RoundInterval{500};

  /// Time limit on a whole snapshot fetch, connecting included.
  std::chrono::milliseconds m_FetchTimeout{10'000};
};

/// Exchanges heartbeats over UDP and snapshots over TCP on a thread of its own. The destructor ends
/// open fetches with Cancelled and joins the thread, so it must not run on that thread.
class GossipMembership final : public IMembership {
public:
  /// Opens the sockets and starts the thread. Returns InvalidArgument if the peer address is
  /// malformed, a name exceeds its limit or the peer key is empty, and Unavailable if the address
  /// cannot be bound.
  static auto start(const MembershipOptions &Options)
      -> absl::StatusOr<std::unique_ptr<GossipMembership>>;

  ~GossipMembership() override;

  [[nodiscard]] auto peers() const -> std::vector<PeerView> override;
  [[nodiscard]] auto entryList(std::string_view DataCentre) -> std::vector<EntryAddress> override;
  auto setLocalGeneration(std::uint64_t Generation) -> void override;
  auto setLocalState(PeerState State) -> void override;
  auto setLocalBudgets(std::vector<AdvertisedBudget> Budgets) -> void override;
  auto onHigherGeneration(GenerationObserver Observer) -> void override;
  auto setSnapshotProvider(SnapshotProvider Provider) -> void override;
  auto fetchSnapshot(const std::string &PeerAddress, SnapshotCallback Done) -> void override;
  [[nodiscard]] auto traffic() const -> TrafficCounts override;

private:
  struct Impl;

  explicit GossipMembership(std::unique_ptr<Impl> Opened);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace geraniumlift::membership
