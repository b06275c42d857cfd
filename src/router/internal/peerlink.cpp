#include "router/internal/peerlink.h"

namespace geraniumlift::router {

auto PeerLink::offersOf(const std::string &Budget) const -> std::vector<budget::RouterOffer> {
  return m_Peers.budgetOffers(Budget, m_Clock.steadyNow());
}

auto PeerLink::send(const std::string &Router, const budget::TransferMessage &Message) -> void {
  send(Router, TransferByte + encodeTransfer(Message));
}

auto PeerLink::send(const std::string &Router, const ratelimits::LimitMessage &Message) -> void {
  send(Router, LimitByte + encodeMessage(Message));
}

auto PeerLink::publish(const ratelimits::LimitUpdate &Update) -> void {
  sendToNeighbours(LimitByte + ratelimits::encodeMessage(Update));
}

auto PeerLink::send(const std::string &Router, const streamversions::StreamMessage &Message)
    -> void {
  send(Router, StreamByte + encodeMessage(Message));
}

auto PeerLink::publish(const streamversions::RecordUpdate &Update, const std::string &Except)
    -> void {
  sendToNeighbours(StreamByte + streamversions::encodeMessage(Update), Except);
}

auto PeerLink::send(const std::string &Router, const mirror::MirrorRequest &Message) -> void {
  send(Router, MirrorRequestByte + encodeRequest(Message));
}

auto PeerLink::send(const std::string &Router, const mirror::MirrorUpdate &Message) -> void {
  send(Router, MirrorUpdateByte + encodeUpdate(Message));
}

auto PeerLink::sendToNeighbours(const std::string &Bytes, const std::string &Except) -> void {
  for (const auto &Name : m_Exchange.neighbours()) {
    if (Name != Except) {
      send(Name, Bytes);
    }
  }
}

auto PeerLink::send(const fleet::OutgoingMessage &Message) -> void {
  const auto Bytes = encodeMessage(Message.m_Message);
  for (const auto &Router : Message.m_Routers) {
    send(Router, Bytes);
  }
}

auto PeerLink::send(const std::string &Router, const std::string &Bytes) -> void {
  if (const auto *Record = m_Peers.findRecord(Router)) {
    m_Socket.send(Record->m_PeerAddress, Record->m_PeerPort, Bytes);
  }
}

} // namespace geraniumlift::router
