#pragma once

#include "trafficcounter.h"

#include "membership/imembership.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace geraniumlift::membership {

/// Size in bytes of the largest snapshot that is served or fetched.
inline constexpr std::size_t MaxSnapshotBytes = std::size_t{64} << 20;

/// Serves and fetches snapshots over TCP. A frame is its length (four bytes, little endian) and a
/// signed message. A request carries a random nonce, which the response repeats before the
/// snapshot, so that a replayed response is rejected. All calls must run on the thread of the
/// context.
class SnapshotExchange {
public:
  SnapshotExchange(boost::asio::io_context &Context, std::string Key, TrafficCounter &Traffic,
                   std::chrono::milliseconds FetchTimeout);

  /// Ends open fetches with Cancelled.
  ~SnapshotExchange();

  /// Takes ownership of a listening socket and serves requests. The provider returns the snapshot
  /// for each request.
  auto serve(boost::asio::ip::tcp::acceptor Acceptor, std::function<std::string()> Provider)
      -> void;

  auto fetch(const boost::asio::ip::tcp::endpoint &Peer, IMembership::SnapshotCallback Done)
      -> void;

private:
  class Connection;
  class Fetch;

  auto accept() -> void;
  auto scheduleAccept() -> void;
  auto handleRequest(const std::shared_ptr<Connection> &From, const std::string &Request) -> void;

  boost::asio::io_context &m_Context;
  std::string m_Key;
  TrafficCounter &m_Traffic;
  std::chrono::milliseconds m_FetchTimeout;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_AcceptTimer;
  std::function<std::string()> m_Provider;
  std::set<std::shared_ptr<Fetch>> m_Fetches;
  int m_ActiveRequests = 0;
};

} // namespace geraniumlift::membership
