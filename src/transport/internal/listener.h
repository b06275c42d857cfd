#pragma once

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace geraniumlift::transport {

/// Makes an acceptor listen on an IPv4 address, with so many connections that may wait to be
/// accepted. Returns Unavailable if the address cannot be used.
auto openListener(boost::asio::ip::tcp::acceptor &Acceptor, const std::string &Address,
                  std::uint16_t Port, int Backlog) -> absl::Status;

} // namespace geraniumlift::transport
