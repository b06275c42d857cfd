#include "router/router.h"

// The part of Router that exchanges messages with other routers.

namespace geraniumlift::router {

namespace {

/// Maximum number of budgets in one heartbeat, so that it fits into one packet.
constexpr auto MaxOffersPerHeartbeat = std::size_t{64};

} // namespace

auto Router::sendHeartbeats() -> void {
  auto Message = fleet::Heartbeat();
  Message.m_Router = m_Settings.m_Vm;
  Message.m_Incarnation = m_Incarnation;
  Message.m_Sequence = ++m_HeartbeatSequence;
  Message.m_IsLeaving = m_IsLeaving;
  Message.m_IsOverloaded = m_Overload.isOverloaded();
  Message.m_IsCutOff = m_TargetPath.isCutOff();
  for (const auto &[Id, State] : m_Targets.all()) {
    const auto &Load = State.ownLoad();
    if (Load.m_ActiveRequests > 0) {
      Message.m_Loads.push_back({fleet::hashName(Id),
                                 static_cast<std::uint32_t>(Load.m_PendingPromptTokens),
                                 static_cast<std::uint16_t>(Load.m_ActiveRequests)});
    }
  }
  for (const auto &Offer : m_Grants.offers()) {
    if (Message.m_Budgets.size() < MaxOffersPerHeartbeat) {
      Message.m_Budgets.push_back(
          {fleet::hashName(Offer.m_Budget),
           static_cast<std::uint32_t>(std::min<base::Tokens>(Offer.m_Available, UINT32_MAX))});
    }
  }
  const auto StoreAgeMs = static_cast<std::uint32_t>(std::min<std::int64_t>(
      m_Subscription.storeAge(m_StoreMonitor.lastAnswered()).count(), UINT32_MAX));
  Message.m_StoreAgeMs = StoreAgeMs;
  const auto Before = m_Peers.role();
  for (const auto &Outgoing : m_FleetExchange.advance(std::move(Message), now())) {
    m_PeerLink.send(Outgoing);
  }
  m_Subscription.advance(m_Peers.role(), m_FleetExchange.currentRelays());
  if (m_Peers.role() != Before) {
    m_Dependencies.m_Log.record(base::LogLevel::Info, "fleet_role_changed",
                                {{"role", nameOf(fleet::FleetRoleNames, m_Peers.role())},
                                 {"before", nameOf(fleet::FleetRoleNames, Before)},
                                 {"routers", m_Peers.recordCount()},
                                 {"store_age_ms", StoreAgeMs}});
  }
}

auto Router::onDatagram(std::string_view Bytes) -> void {
  if (fleet::isFleetMessage(Bytes)) {
    onFleetMessage(Bytes);
  } else if (Bytes.starts_with(TransferByte)) {
    onTransfer(Bytes.substr(1));
  } else if (Bytes.starts_with(MirrorRequestByte)) {
    onMirrorRequest(Bytes.substr(1));
  } else if (Bytes.starts_with(MirrorUpdateByte)) {
    onMirrorUpdate(Bytes.substr(1));
  } else if (Bytes.starts_with(QuarantineByte)) {
    onQuarantineUpdate(Bytes.substr(1));
  } else if (Bytes.starts_with(LimitByte)) {
    onLimitMessage(Bytes.substr(1));
  } else if (Bytes.starts_with(StreamByte)) {
    onStreamMessage(Bytes.substr(1));
  } else {
    logUnreadableDatagram("unknown datagram kind", Bytes.size());
  }
}

auto Router::onFleetMessage(std::string_view Bytes) -> void {
  const auto Message = fleet::decodeMessage(Bytes);
  if (!Message.ok()) {
    logUnreadableDatagram(std::string(Message.status().message()), Bytes.size());
    return;
  }
  const auto Result = m_FleetExchange.receive(*Message, now());
  for (const auto &Changed : Result.m_ChangedRouters) {
    m_Dependencies.m_Log.record(base::LogLevel::Info, "router_heard",
                                {{"router", Changed.m_Router},
                                 {"incarnation", Changed.m_Incarnation},
                                 {"leaving", Changed.m_IsLeaving}});
  }
  if (Result.m_Answer) {
    m_PeerLink.send(*Result.m_Answer);
  }
}

auto Router::onTransfer(std::string_view Bytes) -> void {
  const auto Message = budget::decodeTransfer(Bytes);
  if (!Message.ok()) {
    logUnreadableDatagram(std::string(Message.status().message()), Bytes.size());
    return;
  }
  m_Grants.onTransfer(*Message);
}

auto Router::onMirrorRequest(std::string_view Bytes) -> void {
  const auto Request = mirror::decodeRequest(Bytes);
  if (!Request.ok()) {
    logUnreadableDatagram(std::string(Request.status().message()), Bytes.size());
    return;
  }
  m_Subscription.onRequest(*Request);
}

auto Router::onMirrorUpdate(std::string_view Bytes) -> void {
  const auto Update = mirror::decodeUpdate(Bytes);
  if (!Update.ok()) {
    logUnreadableDatagram(std::string(Update.status().message()), Bytes.size());
    return;
  }
  m_Subscription.onUpdate(*Update);
}

auto Router::advanceQuarantine() -> void {
  m_Quarantine.advance(m_Peers.role() != fleet::FleetRole::Member && m_IsStoreReachable);
  if (const auto Report = m_Quarantine.takeReport()) {
    m_PeerLink.sendToNeighbours(QuarantineByte + encodeUpdate(*Report));
  }
  m_Dependencies.m_Metrics.gauge("geraniumlift_blocked_prompt_parts", {},
                                 static_cast<double>(m_Quarantine.blockedParts()));
}

auto Router::onQuarantineUpdate(std::string_view Bytes) -> void {
  const auto Update = quarantine::decodeUpdate(Bytes);
  if (!Update.ok()) {
    logUnreadableDatagram(std::string(Update.status().message()), Bytes.size());
    return;
  }
  const auto New = m_Quarantine.onUpdate(*Update);
  if (m_Peers.role() != fleet::FleetRole::Direct && !New.isEmpty()) {
    m_PeerLink.sendToNeighbours(QuarantineByte + encodeUpdate(New), Update->m_Router);
  }
}

auto Router::advanceLimits(const std::set<std::string> &AlivePeers) -> void {
  auto Keepers = AlivePeers;
  if (!m_IsLeaving) {
    Keepers.insert(m_Settings.m_Vm);
  }
  m_Limits.setRouters(Keepers);
  m_Limits.setInContact(m_Peers.isInContact(now()));
  m_Limits.advance();
  m_Dependencies.m_Metrics.gauge("geraniumlift_limited_targets", {},
                                 static_cast<double>(m_Limits.limitedTargets()));
  m_Dependencies.m_Metrics.gauge("geraniumlift_brittle_targets", {},
                                 static_cast<double>(m_Limits.brittleTargets()));
  m_Dependencies.m_Metrics.gauge("geraniumlift_cold_targets", {},
                                 static_cast<double>(m_Limits.coldTargets()));
}

auto Router::reportTargetAccess() -> void {
  for (const auto &[Reason, Count] : m_TargetAccess.update(m_Targets, m_Gate, now())) {
    m_Dependencies.m_Metrics.gauge(
        "geraniumlift_closed_targets",
        {{"reason", std::string(nameOf(forwarding::GateReasonNames, Reason))}},
        static_cast<double>(Count));
  }
}

auto Router::onLimitMessage(std::string_view Bytes) -> void {
  const auto Message = ratelimits::decodeMessage(Bytes);
  if (!Message.ok()) {
    logUnreadableDatagram(std::string(Message.status().message()), Bytes.size());
    return;
  }
  const auto New = m_Limits.onMessage(*Message);
  if (m_Peers.role() != fleet::FleetRole::Direct && !New.isEmpty()) {
    m_PeerLink.sendToNeighbours(LimitByte + ratelimits::encodeMessage(New),
                                std::get<ratelimits::LimitUpdate>(*Message).m_Router);
  }
}

auto Router::onStreamMessage(std::string_view Bytes) -> void {
  const auto Message = streamversions::decodeMessage(Bytes);
  if (!Message.ok()) {
    logUnreadableDatagram(std::string(Message.status().message()), Bytes.size());
    return;
  }
  m_StreamVersions.onMessage(*Message);
}

auto Router::logUnreadableDatagram(const std::string &Reason, std::size_t Size) -> void {
  m_Dependencies.m_Log.record(base::LogLevel::Warning, "datagram_unreadable",
                              {{"reason", Reason}, {"bytes", Size}});
}

} // namespace geraniumlift::router
