#pragma once

#include "base/iclock.h"
#include "budget/itransferlink.h"
#include "fleet/fleetexchange.h"
#include "transport/datagramsocket.h"

namespace geraniumlift::router {

/// First byte of a datagram of each kind. The messages of module fleet have first bytes of their
/// own.
constexpr auto TransferByte = 'T';
constexpr auto MirrorRequestByte = 'Q';
constexpr auto MirrorUpdateByte = 'U';
constexpr auto QuarantineByte = 'C';

/// Sends messages to the other routers as datagrams, which may be lost.
class PeerLink final : public budget::ITransferLink {
public:
  PeerLink(const fleet::PeerTable &Peers, transport::DatagramSocket &Socket,
           const base::IClock &Clock)
      : m_Peers(Peers), m_Socket(Socket), m_Clock(Clock) {}

  [[nodiscard]] auto offersOf(const std::string &Budget) const
      -> std::vector<budget::RouterOffer> override;
  auto send(const std::string &Router, const budget::TransferMessage &Message) -> void override;

  /// Sends the message to its receivers.
  auto send(const fleet::OutgoingMessage &Message) -> void;

  /// Sends an encoded message to a router. Does nothing if the router has left the fleet; the
  /// message then counts as lost.
  auto send(const std::string &Router, const std::string &Bytes) -> void;

private:
  const fleet::PeerTable &m_Peers;
  transport::DatagramSocket &m_Socket;
  const base::IClock &m_Clock;
};

} // namespace geraniumlift::router
