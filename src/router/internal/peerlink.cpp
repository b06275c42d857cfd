#include "router/internal/peerlink.h"

namespace geraniumlift::router {

auto PeerLink::offersOf(const std::string &Budget) const -> std::vector<budget::RouterOffer> {
  return m_Peers.budgetOffers(Budget, m_Clock.steadyNow());
}

auto PeerLink::send(const std::string &Router, const budget::TransferMessage &Message) -> void {
  // A router without a record has left the fleet. The message is dropped, and the sender treats it
  // as lost.
  if (const auto *Record = m_Peers.findRecord(Router)) {
    m_Socket.send(Record->m_PeerAddress, Record->m_PeerPort,
                  static_cast<char>(DatagramKind::Transfer) + encodeTransfer(Message));
  }
}

auto PeerLink::broadcast(const fleet::Heartbeat &Message) -> void {
  const auto Bytes = static_cast<char>(DatagramKind::Heartbeat) + encodeHeartbeat(Message);
  for (const auto &Peer : m_Peers.otherRouters()) {
    m_Socket.send(Peer.m_PeerAddress, Peer.m_PeerPort, Bytes);
  }
}

} // namespace geraniumlift::router
