#pragma once

namespace geraniumlift::testing {

/// Returns a loopback port that is free for TCP and UDP, outside the range from which the system
/// picks ports of outgoing connections. No port is returned twice in one process.
auto freePort() -> int;

} // namespace geraniumlift::testing
