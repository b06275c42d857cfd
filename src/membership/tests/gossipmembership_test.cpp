#include "membership/gossipmembership.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <functional>
#include <future>
#include <random>
#include <thread>

using namespace geraniumlift::membership;

namespace {

constexpr auto TestRound = std::chrono::milliseconds{30};

/// Returns a loopback port that is free for UDP and TCP.
auto freePort() -> unsigned short {
  auto Context = boost::asio::io_context();
  const auto Loopback = boost::asio::ip::address_v4::loopback();
  for (;;) {
    auto Socket = boost::asio::ip::udp::socket(Context, {Loopback, 0});
    const auto Port = Socket.local_endpoint().port();
    auto Acceptor = boost::asio::ip::tcp::acceptor(Context, boost::asio::ip::tcp::v4());
    auto Error = boost::system::error_code();
    Acceptor.bind({Loopback, Port}, Error);
    if (!Error) {
      return Port;
    }
  }
}

auto makeOptions(int Number, unsigned short Port, const std::string &Seed) -> MembershipOptions {
  return {.m_Vm = fmt::format("vm-{}", Number),
          .m_Incarnation = 1,
          .m_DataCentre = "rajkot-a",
          .m_CallerUrl = fmt::format("http://127.0.0.1:{}", 8000 + Number),
          .m_PeerAddress = fmt::format("127.0.0.1:{}", Port),
          .m_Seeds = {Seed},
          .m_PeerKey = "peer key",
          .m_RoundInterval = TestRound,
          .m_FetchTimeout = std::chrono::milliseconds{500}};
}

auto waitUntil(const std::function<bool()> &Condition) -> bool {
  for (auto Attempt = 0; Attempt < 300 && !Condition(); ++Attempt) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  return Condition();
}

auto fetch(IMembership &From, const std::string &Address) -> absl::StatusOr<std::string> {
  auto Result = std::promise<absl::StatusOr<std::string>>();
  From.fetchSnapshot(Address, [&](absl::StatusOr<std::string> Snapshot) {
    Result.set_value(std::move(Snapshot));
  });
  return Result.get_future().get();
}

/// Two routers that know each other.
class RouterPair {
public:
  RouterPair() {
    const auto Port = freePort();
    m_Address = fmt::format("127.0.0.1:{}", Port);
    m_First = *GossipMembership::start(makeOptions(1, Port, m_Address));
    m_Second = *GossipMembership::start(makeOptions(2, freePort(), m_Address));
  }

  std::string m_Address;
  std::unique_ptr<GossipMembership> m_First;
  std::unique_ptr<GossipMembership> m_Second;
};

} // namespace

// Guards against faults between sockets, codec and peer table that leave routers unknown to each
// other or lose a change of generation or state.
Test(gossip, routersDiscoverEachOtherAndAnnounceGeneration) {
  auto Routers = RouterPair();
  auto Seen = std::promise<std::uint64_t>();
  Routers.m_First->onHigherGeneration(
      [&](const PeerEntry &Peer) { Seen.set_value(Peer.m_Generation); });
  cr_assert(waitUntil([&] { return Routers.m_First->peers().size() == 1; }));
  cr_assert(waitUntil([&] { return Routers.m_Second->entryList("rajkot-a").size() == 2; }));
  Routers.m_Second->setLocalGeneration(4);
  cr_assert_eq(Seen.get_future().get(), 4U);
  Routers.m_Second->setLocalState(PeerState::Draining);
  cr_assert(waitUntil([&] { return Routers.m_First->entryList("rajkot-a").size() == 1; }));
}

// Guards against accepting heartbeats or serving snapshots to a router that has another peer key.
Test(gossip, wrongKeyIsDroppedAndCounted) {
  auto Routers = RouterPair();
  auto Options = makeOptions(3, freePort(), Routers.m_Address);
  Options.m_PeerKey = "another key";
  const auto WrongKeyRouter = *GossipMembership::start(Options);
  cr_assert(waitUntil([&] { return Routers.m_First->traffic().m_Unauthenticated >= 3; }));
  cr_assert(WrongKeyRouter->peers().empty());
  cr_assert(!fetch(*WrongKeyRouter, Routers.m_Address).ok());
  for (const auto &Peer : Routers.m_First->peers()) {
    cr_assert_eq(Peer.m_Entry.m_Vm, std::string("vm-2"));
  }
}

// Guards against random bytes on either socket that stop the thread or block snapshot requests of
// other routers.
Test(gossip, randomBytesDoNotDisturbRouter) {
  auto Routers = RouterPair();
  Routers.m_First->setSnapshotProvider([] { return std::string("snapshot"); });
  auto Context = boost::asio::io_context();
  const auto Port = static_cast<unsigned short>(
      std::stoi(Routers.m_Address.substr(Routers.m_Address.rfind(':') + 1)));
  const auto Loopback = boost::asio::ip::address_v4::loopback();
  auto Socket = boost::asio::ip::udp::socket(Context, {Loopback, 0});
  auto Random = std::mt19937_64(7);
  for (auto Attempt = 0; Attempt < 300; ++Attempt) {
    auto RandomBytes = std::string(Random() % 1400, '\0');
    std::ranges::generate(RandomBytes, [&] { return static_cast<char>(Random()); });
    Socket.send_to(boost::asio::buffer(RandomBytes), {Loopback, Port});
    if (Attempt % 10 == 0) {
      auto Stream = boost::asio::ip::tcp::socket(Context);
      Stream.connect({Loopback, Port});
      auto Ignored = boost::system::error_code();
      boost::asio::write(Stream, boost::asio::buffer(RandomBytes), Ignored);
    }
  }
  cr_assert(waitUntil([&] { return Routers.m_First->traffic().m_Unauthenticated > 0; }));
  cr_assert_eq(*fetch(*Routers.m_Second, Routers.m_Address), std::string("snapshot"));
  cr_assert(waitUntil([&] { return Routers.m_First->peers().size() == 1; }));
}

// Guards against truncated snapshots, and against fetches that never end: from a closed port, from
// a peer that does not answer, or at shutdown.
Test(gossip, snapshotFetchDeliversAllBytesOrAnError) {
  auto Routers = RouterPair();
  auto Large = std::string(std::size_t{5} << 20, 'x');
  Large.back() = 'y';
  Routers.m_First->setSnapshotProvider([&] { return Large; });
  cr_assert(*fetch(*Routers.m_Second, Routers.m_Address) == Large);
  cr_assert(absl::IsUnavailable(
      fetch(*Routers.m_Second, fmt::format("127.0.0.1:{}", freePort())).status()));
  auto Context = boost::asio::io_context();
  auto Silent =
      boost::asio::ip::tcp::acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0});
  const auto SilentAddress = fmt::format("127.0.0.1:{}", Silent.local_endpoint().port());
  cr_assert(absl::IsDeadlineExceeded(fetch(*Routers.m_Second, SilentAddress).status()));
  auto Cancelled = std::promise<absl::Status>();
  Routers.m_Second->fetchSnapshot(SilentAddress, [&](const absl::StatusOr<std::string> &Snapshot) {
    Cancelled.set_value(Snapshot.status());
  });
  Routers.m_Second.reset();
  cr_assert(absl::IsCancelled(Cancelled.get_future().get()));
}

// Guards against starting with an empty key, a host name as address, or an address in use.
Test(gossip, unusableSettingsAreRefused) {
  auto Options = makeOptions(1, freePort(), "");
  Options.m_PeerKey.clear();
  cr_assert(absl::IsInvalidArgument(GossipMembership::start(Options).status()));
  Options = makeOptions(1, freePort(), "");
  Options.m_PeerAddress = "localhost";
  cr_assert(absl::IsInvalidArgument(GossipMembership::start(Options).status()));
  Options = makeOptions(1, freePort(), "");
  const auto First = GossipMembership::start(Options);
  cr_assert(absl::IsUnavailable(GossipMembership::start(Options).status()));
}
