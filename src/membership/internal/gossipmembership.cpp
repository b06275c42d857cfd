#include "membership/gossipmembership.h"

#include "heartbeatcodec.h"
#include "messageauth.h"
#include "peertable.h"
#include "snapshotexchange.h"

#include "base/log.h"
#include "base/systemclock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>

namespace geraniumlift::membership {

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

/// Size of the largest heartbeat datagram. It fits into one unfragmented packet on common links.
constexpr std::size_t MaxDatagramBytes = 1200;

/// An IP address and a port.
struct ParsedAddress {
  boost::asio::ip::address m_Address;
  std::uint16_t m_Port = 0;
};

/// Parses "10.0.0.1:7000"; nothing if malformed.
auto parseAddress(const std::string &Text) -> std::optional<ParsedAddress> {
  const auto Colon = Text.rfind(':');
  auto Port = std::uint32_t{0};
  if (Colon == std::string::npos || !absl::SimpleAtoi(Text.substr(Colon + 1), &Port) || Port == 0 ||
      Port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  auto Error = error_code();
  const auto Address = boost::asio::ip::make_address(Text.substr(0, Colon), Error);
  if (Error) {
    return std::nullopt;
  }
  return ParsedAddress{Address, static_cast<std::uint16_t>(Port)};
}

auto ownEntry(const MembershipOptions &Options) -> PeerEntry {
  return {.m_Vm = Options.m_Vm,
          .m_Incarnation = Options.m_Incarnation,
          .m_DataCentre = Options.m_DataCentre,
          .m_CallerUrl = Options.m_CallerUrl,
          .m_PeerAddress = Options.m_PeerAddress,
          .m_Budgets = {}};
}

} // namespace

/// The sockets, the peer table and the thread. The mutex guards the table, the observers and the
/// provider; only the thread uses the sockets.
struct GossipMembership::Impl {
  Impl(const MembershipOptions &Options, const ParsedAddress &Address)
      : m_Options(Options), m_Table(ownEntry(Options), Options.m_Seeds, std::random_device()()),
        m_Socket(m_Context, udp::endpoint(Address.m_Address, Address.m_Port)),
        m_RoundTimer(m_Context),
        m_Exchange(std::in_place, m_Context, Options.m_PeerKey, m_Traffic, Options.m_FetchTimeout) {
    m_Exchange->serve(tcp::acceptor(m_Context, tcp::endpoint(Address.m_Address, Address.m_Port)),
                      [this] { return snapshot(); });
    m_Socket.non_blocking(true);
  }

  auto run() -> void {
    receive();
    beginRound();
    m_Thread = std::thread([this] { m_Context.run(); });
  }

  auto stop() -> void {
    boost::asio::post(m_Context, [this] {
      m_Exchange.reset();
      m_Context.stop();
    });
    m_Thread.join();
  }

  auto snapshot() -> std::string {
    auto Provider = SnapshotProvider();
    {
      const auto Lock = std::scoped_lock(m_Mutex);
      Provider = m_Provider;
    }
    return Provider ? Provider() : std::string();
  }

  auto receive() -> void {
    m_Socket.async_receive_from(boost::asio::buffer(m_Input), m_Sender,
                                [this](const error_code &Error, std::size_t Size) {
                                  if (Error == boost::asio::error::operation_aborted) {
                                    return;
                                  }
                                  if (!Error) {
                                    handleDatagram({m_Input.data(), Size});
                                  }
                                  receive();
                                });
  }

  auto handleDatagram(std::string_view Datagram) -> void {
    m_Traffic.receivedDatagram(Datagram.size());
    const auto Payload = verifyMessage(m_Options.m_PeerKey, MessageKind::Heartbeat, Datagram);
    if (!Payload) {
      return m_Traffic.unauthenticated();
    }
    const auto Message = decodeHeartbeat(*Payload);
    if (!Message.ok()) {
      return m_Traffic.malformed();
    }
    auto Ahead = std::vector<PeerEntry>();
    auto Observers = std::vector<GenerationObserver>();
    {
      const auto Lock = std::scoped_lock(m_Mutex);
      Ahead = m_Table.merge(*Message, m_Clock.steadyNow());
      Observers = Ahead.empty() ? std::vector<GenerationObserver>() : m_Observers;
    }
    for (const auto &Peer : Ahead) {
      for (const auto &Observer : Observers) {
        Observer(Peer);
      }
    }
  }

  auto beginRound() -> void {
    sendHeartbeats();
    m_RoundTimer.expires_after(m_Options.m_RoundInterval);
    m_RoundTimer.async_wait([this](const error_code &Error) {
      if (!Error) {
        beginRound();
      }
    });
  }

  auto sendHeartbeats() -> void {
    const auto Lock = std::scoped_lock(m_Mutex);
    const auto Now = m_Clock.steadyNow();
    for (const auto &Address : m_Table.beginRound(Now)) {
      const auto Destination = parseAddress(Address);
      const auto Message = m_Table.buildHeartbeat(MaxDatagramBytes - MacBytes, Now);
      if (Destination) {
        send(*Destination, encodeHeartbeat(Message));
      }
    }
  }

  /// Sends without blocking. A datagram that the socket cannot accept is dropped: peers tolerate
  /// lost heartbeats.
  auto send(const ParsedAddress &Destination, const std::string &Payload) -> void {
    const auto SignedMessage = signMessage(m_Options.m_PeerKey, MessageKind::Heartbeat, Payload);
    auto Error = error_code();
    m_Socket.send_to(boost::asio::buffer(SignedMessage),
                     {Destination.m_Address, Destination.m_Port}, 0, Error);
    if (!Error) {
      m_Traffic.sentDatagram(SignedMessage.size());
    }
  }

  const MembershipOptions m_Options;
  base::SystemClock m_Clock;
  mutable std::mutex m_Mutex;
  PeerTable m_Table;
  std::vector<GenerationObserver> m_Observers;
  SnapshotProvider m_Provider;
  std::uint64_t m_Rotation = 0;
  TrafficCounter m_Traffic;
  boost::asio::io_context m_Context{1};
  udp::socket m_Socket;
  udp::endpoint m_Sender;

  /// One byte larger than the limit, so that a longer datagram arrives truncated and fails its
  /// authentication.
  std::array<char, MaxDatagramBytes + 1> m_Input{};
  boost::asio::steady_timer m_RoundTimer;
  std::optional<SnapshotExchange> m_Exchange;
  std::thread m_Thread;
};

auto GossipMembership::start(const MembershipOptions &Options)
    -> absl::StatusOr<std::unique_ptr<GossipMembership>> {
  const auto Address = parseAddress(Options.m_PeerAddress);
  if (!Address || !isWithinLimits(ownEntry(Options)) || Options.m_PeerKey.empty()) {
    return absl::InvalidArgumentError("unusable peer address, names or peer key");
  }
  try {
    auto Opened = std::make_unique<Impl>(Options, *Address);
    Opened->run();
    return std::unique_ptr<GossipMembership>(new GossipMembership(std::move(Opened)));
  } catch (const boost::system::system_error &Error) {
    return absl::UnavailableError(absl::StrCat(Options.m_PeerAddress, ": ", Error.what()));
  }
}

GossipMembership::GossipMembership(std::unique_ptr<Impl> Opened) : m_Impl(std::move(Opened)) {}

GossipMembership::~GossipMembership() { m_Impl->stop(); }

auto GossipMembership::peers() const -> std::vector<PeerView> {
  const auto Lock = std::scoped_lock(m_Impl->m_Mutex);
  return m_Impl->m_Table.peers(m_Impl->m_Clock.steadyNow());
}

auto GossipMembership::entryList(std::string_view DataCentre) -> std::vector<EntryAddress> {
  const auto Lock = std::scoped_lock(m_Impl->m_Mutex);
  return m_Impl->m_Table.entryList(DataCentre, m_Impl->m_Rotation++, m_Impl->m_Clock.steadyNow());
}

auto GossipMembership::setLocalGeneration(std::uint64_t Generation) -> void {
  const auto Lock = std::scoped_lock(m_Impl->m_Mutex);
  m_Impl->m_Table.setGeneration(Generation);
}

auto GossipMembership::setLocalState(PeerState State) -> void {
  const auto Lock = std::scoped_lock(m_Impl->m_Mutex);
  m_Impl->m_Table.setState(State);
}

auto GossipMembership::setLocalBudgets(std::vector<AdvertisedBudget> Budgets) -> void {
  const auto Lock = std::scoped_lock(m_Impl->m_Mutex);
  m_Impl->m_Table.setBudgets(Budgets);
}

auto GossipMembership::onHigherGeneration(GenerationObserver Observer) -> void {
  const auto Lock = std::scoped_lock(m_Impl->m_Mutex);
  m_Impl->m_Observers.push_back(std::move(Observer));
}

auto GossipMembership::setSnapshotProvider(SnapshotProvider Provider) -> void {
  const auto Lock = std::scoped_lock(m_Impl->m_Mutex);
  m_Impl->m_Provider = std::move(Provider);
}

auto GossipMembership::fetchSnapshot(const std::string &PeerAddress, SnapshotCallback Done)
    -> void {
  const auto Address = parseAddress(PeerAddress);
  if (!Address) {
    return Done(absl::InvalidArgumentError("not an IP number with a port"));
  }
  boost::asio::post(m_Impl->m_Context,
                    [Impl = m_Impl.get(), Done = std::move(Done),
                     Peer = tcp::endpoint(Address->m_Address, Address->m_Port)]() mutable {
                      if (!Impl->m_Exchange) {
                        return Done(absl::CancelledError("the membership is closed"));
                      }
                      Impl->m_Exchange->fetch(Peer, std::move(Done));
                    });
}

auto GossipMembership::traffic() const -> TrafficCounts { return m_Impl->m_Traffic.counts(); }

} // namespace geraniumlift::membership
