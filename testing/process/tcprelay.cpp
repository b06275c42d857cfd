#include "process/tcprelay.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <thread>
#include <vector>

namespace geraniumlift::testing {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t BlockBytes = 16'384;

/// Copies bytes from one socket to the other while the connection is not silenced.
class Link : public std::enable_shared_from_this<Link> {
public:
  Link(tcp::socket Near, boost::asio::io_context &Context)
      : m_Near(std::move(Near)), m_Far(Context) {}

  auto start(int Port) -> void {
    m_Far.async_connect({boost::asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(Port)},
                        [Self = shared_from_this()](const error_code &Error) {
                          if (Error) {
                            Self->close();
                            return;
                          }
                          Self->copy(Self->m_Near, Self->m_Far, Self->m_Outbound);
                          Self->copy(Self->m_Far, Self->m_Near, Self->m_Inbound);
                        });
  }

  auto silence() -> void { m_Silent = true; }

private:
  using Block = std::array<char, BlockBytes>;

  auto copy(tcp::socket &From, tcp::socket &To, Block &Buffer) -> void {
    From.async_read_some(boost::asio::buffer(Buffer), [Self = shared_from_this(), &From, &To,
                                                       &Buffer](const error_code &Error,
                                                                std::size_t Size) {
      if (Self->m_Silent) {
        return;
      }
      if (Error) {
        Self->close();
        return;
      }
      boost::asio::async_write(To, boost::asio::buffer(Buffer, Size),
                               [Self, &From, &To, &Buffer](const error_code &Failed, std::size_t) {
                                 if (Failed) {
                                   Self->close();
                                 } else {
                                   Self->copy(From, To, Buffer);
                                 }
                               });
    });
  }

  auto close() -> void {
    auto Ignored = error_code();
    m_Near.close(Ignored);
    m_Far.close(Ignored);
  }

  tcp::socket m_Near;
  tcp::socket m_Far;
  Block m_Outbound{};
  Block m_Inbound{};
  bool m_Silent = false;
};

} // namespace

class TcpRelay::Implementation {
public:
  Implementation(int ListenPort, int TargetPort)
      : m_Acceptor(m_Context, {boost::asio::ip::address_v4::loopback(),
                               static_cast<std::uint16_t>(ListenPort)}),
        m_TargetPort(TargetPort) {
    accept();
    m_Thread = std::thread([this] { m_Context.run(); });
  }

  ~Implementation() {
    m_Context.stop();
    m_Thread.join();
  }

  Implementation(const Implementation &) = delete;
  auto operator=(const Implementation &) -> Implementation & = delete;

  auto setCut(bool Cut) -> void {
    m_Context.post([this, Cut] {
      m_Cut = Cut;
      for (const auto &Open : m_Links) {
        if (Cut) {
          Open->silence();
        }
      }
    });
  }

private:
  auto accept() -> void {
    m_Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
      if (Error) {
        return;
      }
      m_Links.push_back(std::make_shared<Link>(std::move(Socket), m_Context));
      if (!m_Cut) {
        m_Links.back()->start(m_TargetPort);
      }
      accept();
    });
  }

  boost::asio::io_context m_Context{1};
  tcp::acceptor m_Acceptor;
  int m_TargetPort;
  bool m_Cut = false;
  std::vector<std::shared_ptr<Link>> m_Links;
  std::thread m_Thread;
};

TcpRelay::TcpRelay(int ListenPort, int TargetPort)
    : m_Implementation(std::make_unique<Implementation>(ListenPort, TargetPort)) {}

TcpRelay::~TcpRelay() = default;

auto TcpRelay::cut() -> void { m_Implementation->setCut(true); }
auto TcpRelay::heal() -> void { m_Implementation->setCut(false); }

} // namespace geraniumlift::testing
