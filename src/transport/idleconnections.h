#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <vector>

namespace geraniumlift::transport {

/// Takes the connection that was kept last and can serve another request; drops those that cannot.
/// Bytes that arrived on an idle connection, such as a second copy of an answer, would be taken for
/// the answer to the next request.
auto takeIdleConnection(std::vector<boost::asio::ip::tcp::socket> &Idle)
    -> std::optional<boost::asio::ip::tcp::socket>;

} // namespace geraniumlift::transport
