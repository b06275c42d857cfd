#include "transport/idleconnections.h"

namespace geraniumlift::transport {

auto takeIdleConnection(std::vector<boost::asio::ip::tcp::socket> &Idle)
    -> std::optional<boost::asio::ip::tcp::socket> {
  while (!Idle.empty()) {
    auto Socket = std::move(Idle.back());
    Idle.pop_back();
    auto Error = boost::system::error_code();
    if (Socket.available(Error) == 0 && !Error) {
      return Socket;
    }
  }
  return std::nullopt;
}

} // namespace geraniumlift::transport
