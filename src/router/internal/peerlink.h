#pragma once

#include "base/iclock.h"
#include "budget/itransferlink.h"
#include "fleet/fleetexchange.h"
#include "mirror/imirrorlink.h"
#include "ratelimits/limitservice.h"
#include "streamversions/istreamlink.h"
#include "transport/datagramsocket.h"

namespace geraniumlift::router {

/// First byte of a datagram of each kind. The messages of module fleet have first bytes of their
/// own.
constexpr auto TransferByte = 'T';
constexpr auto MirrorRequestByte = 'Q';
constexpr auto MirrorUpdateByte = 'U';
constexpr auto QuarantineByte = 'C';
constexpr auto LimitByte = 'L';
constexpr auto StreamByte = 'V';

/// Sends messages to the other routers as datagrams, which may be lost.
class PeerLink final : public budget::ITransferLink,
                       public ratelimits::ILimitLink,
                       public streamversions::IStreamLink,
                       public mirror::IMirrorLink {
public:
  PeerLink(const fleet::PeerTable &Peers, const fleet::FleetExchange &Exchange,
           transport::DatagramSocket &Socket, const base::IClock &Clock)
      : m_Peers(Peers), m_Exchange(Exchange), m_Socket(Socket), m_Clock(Clock) {}

  [[nodiscard]] auto offersOf(const std::string &Budget) const
      -> std::vector<budget::RouterOffer> override;
  auto send(const std::string &Router, const budget::TransferMessage &Message) -> void override;

  auto send(const std::string &Router, const ratelimits::LimitMessage &Message) -> void override;
  auto publish(const ratelimits::LimitUpdate &Update) -> void override;

  auto send(const std::string &Router, const streamversions::StreamMessage &Message)
      -> void override;
  auto publish(const streamversions::RecordUpdate &Update, const std::string &Except)
      -> void override;

  auto send(const std::string &Router, const mirror::MirrorRequest &Message) -> void override;
  auto send(const std::string &Router, const mirror::MirrorUpdate &Message) -> void override;

  /// Sends an encoded message to the neighbours, except to the router from which it came.
  auto sendToNeighbours(const std::string &Bytes, const std::string &Except = {}) -> void;

  /// Sends the message to its receivers.
  auto send(const fleet::OutgoingMessage &Message) -> void;

  /// Sends an encoded message to a router. Does nothing if the router has left the fleet; the
  /// message then counts as lost.
  auto send(const std::string &Router, const std::string &Bytes) -> void;

private:
  const fleet::PeerTable &m_Peers;
  const fleet::FleetExchange &m_Exchange;
  transport::DatagramSocket &m_Socket;
  const base::IClock &m_Clock;
};

} // namespace geraniumlift::router
