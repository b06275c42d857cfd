#include "process/freeport.h"

#include <cstdint>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumlift::testing {

namespace {

constexpr int FirstPort = 12'000;
constexpr int PortCount = 18'000;
constexpr int PortsPerProcess = 60;

auto isFree(int Port, int SocketType) -> bool {
  const auto Socket = socket(AF_INET, SocketType, 0);
  auto Address = sockaddr_in{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto Bound = bind(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) == 0;
  close(Socket);
  return Bound;
}

} // namespace

auto freePort() -> int {
  // Criterion runs each test in a process of its own; starting at the process ID keeps them apart.
  static auto Next = static_cast<int>(getpid()) * PortsPerProcess;
  for (auto Attempt = 0; Attempt < PortCount; ++Attempt) {
    const auto Port = FirstPort + Next++ % PortCount;
    if (isFree(Port, SOCK_STREAM) && isFree(Port, SOCK_DGRAM)) {
      return Port;
    }
  }
  throw std::runtime_error("no free port on loopback");
}

} // namespace geraniumlift::testing
