#pragma once

#include "base/nametable.h"

#include <chrono>
#include <string>
#include <vector>

namespace geraniumlift::configuration {

/// Why a router polls the key-value service, or that it does not.
enum class PollRole { None, Designated, Fallback };

inline constexpr auto PollRoleNames = std::array{
    base::NamedValue<PollRole>{PollRole::None, "none"},
    base::NamedValue<PollRole>{PollRole::Designated, "designated"},
    base::NamedValue<PollRole>{PollRole::Fallback, "fallback"},
};

/// Number of routers of a data centre that poll. The second one covers the time in which the death
/// of the first is not noticed.
inline constexpr std::size_t PollersPerDataCentre = 2;

/// The time without any sign of a poller after which a router polls by itself.
inline constexpr auto FallbackAfter = std::chrono::milliseconds{5'000};

/// The pollers among the VMs: those with the lowest rendezvous hash. The order of the VMs does not
/// matter, and a VM that comes or goes changes at most one poller.
auto designatedPollers(std::vector<std::string> Vms) -> std::vector<std::string>;

/// Whether the router on the VM Self polls. LivePeers are the live routers of its data centre, with
/// or without Self.
auto shouldPoll(const std::string &Self, const std::vector<std::string> &LivePeers,
                std::chrono::nanoseconds SincePollerHeard) -> PollRole;

} // namespace geraniumlift::configuration
