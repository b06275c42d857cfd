#pragma once

#include "base/nametable.h"

#include <chrono>
#include <string>
#include <vector>

namespace geraniumlift::configuration {

/// Whether and why a router polls the key-value service.
enum class PollRole { None, Designated, Fallback };

inline constexpr auto PollRoleNames = std::array{
    base::NamedValue<PollRole>{PollRole::None, "none"},
    base::NamedValue<PollRole>{PollRole::Designated, "designated"},
    base::NamedValue<PollRole>{PollRole::Fallback, "fallback"},
};

/// Number of designated pollers in a data centre. The second one keeps polling until a failure of
/// the first is detected.
inline constexpr std::size_t PollersPerDataCentre = 2;

/// Time without news from a designated poller after which any other router polls by itself.
inline constexpr auto FallbackAfter = std::chrono::milliseconds{5'000};

/// The designated pollers among the VMs: those with the lowest rendezvous hash. The order of the
/// VMs does not matter, and adding or removing a VM changes at most one poller.
auto designatedPollers(std::vector<std::string> Vms) -> std::vector<std::string>;

/// Whether and why the router on the VM Self polls. LivePeers are the VMs of the live routers of
/// its data centre, with or without Self.
auto shouldPoll(const std::string &Self, const std::vector<std::string> &LivePeers,
                std::chrono::nanoseconds SincePollerHeard) -> PollRole;

} // namespace geraniumlift::configuration
