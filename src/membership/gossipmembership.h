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

  /// Higher than that of every earlier process on the VM.
  std::uint64_t m_Incarnation = 0;
  std::string m_DataCentre;

  /// Base URL that callers use.
  std::string m_CallerUrl;

  /// IP number and port for UDP and TCP, such as 10.0.0.1:7000.
  std::string m_PeerAddress;

  /// Peer addresses to begin with; the own one may be among them.
  std::vector<std::string> m_Seeds;

  /// Shared by all routers. Whoever has it can speak for any router.
  std::string m_PeerKey;

  /// Time between heartbeat rounds.
  std::chrono::milliseconds m_RoundInterval{500};

  /// Limit on a whole snapshot fetch.
  std::chrono::milliseconds m_FetchTimeout{10'000};
};

/// Membership by heartbeats over UDP and snapshots over TCP, with a thread of its own. The
/// destructor ends open fetches with Cancelled and joins the thread; it must not run on it.
class GossipMembership final : public IMembership {
public:
  /// Opens the sockets and starts. InvalidArgument for unusable settings, Unavailable if the
  /// address cannot be bound.
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
