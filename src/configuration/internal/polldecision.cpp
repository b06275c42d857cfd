#include "configuration/polldecision.h"

#include "base/hashing.h"

#include <algorithm>

namespace geraniumlift::configuration {

namespace {

/// The prefix makes the hash independent of other uses of VM name hashes, which would otherwise
/// select the same VMs.
auto rendezvousHash(const std::string &Vm) -> std::uint64_t {
  return base::hash64("configuration-poller/" + Vm);
}

} // namespace

auto designatedPollers(std::vector<std::string> Vms) -> std::vector<std::string> {
  std::sort(Vms.begin(), Vms.end());
  Vms.erase(std::unique(Vms.begin(), Vms.end()), Vms.end());
  std::stable_sort(Vms.begin(), Vms.end(), [](const auto &Left, const auto &Right) {
    return rendezvousHash(Left) < rendezvousHash(Right);
  });
  Vms.resize(std::min(Vms.size(), PollersPerDataCentre));
  return Vms;
}

auto shouldPoll(const std::string &Self, const std::vector<std::string> &LivePeers,
                std::chrono::nanoseconds SincePollerHeard) -> PollRole {
  auto Vms = LivePeers;
  Vms.push_back(Self);
  const auto Pollers = designatedPollers(std::move(Vms));
  if (std::find(Pollers.begin(), Pollers.end(), Self) != Pollers.end()) {
    return PollRole::Designated;
  }
  return SincePollerHeard >= FallbackAfter ? PollRole::Fallback : PollRole::None;
}

} // namespace geraniumlift::configuration
