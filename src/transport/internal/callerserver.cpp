#include "transport/callerserver.h"

#include "transport/internal/callerconnection.h"
#include "transport/internal/listener.h"

#include <fmt/format.h>
#include <vector>

namespace geraniumlift::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

/// Maximum number of connections that wait to be accepted. A full queue drops the opening packet
/// (SYN), which delays the caller by a second.
constexpr auto ListenBacklog = 512;

/// Delay before accepting again after a failure, which is most likely a lack of file descriptors.
constexpr auto AcceptRetryDelay = 50ms;

} // namespace

struct CallerServer::State : std::enable_shared_from_this<CallerServer::State> {
  State(asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
        ServerOptions Options)
      : m_Acceptor(Loop), m_Shared(std::make_shared<SharedServerState>(Timers, Clock, Options)) {}

  auto open(const std::string &Address, std::uint16_t Port) -> absl::Status {
    auto Status = openListener(m_Acceptor, Address, Port, ListenBacklog);
    if (Status.ok()) {
      accept();
    }
    return Status;
  }

  auto accept() -> void {
    m_Acceptor.async_accept(
        [Self = shared_from_this()](const error_code &Error, tcp::socket Socket) {
          Self->onAccepted(Error, std::move(Socket));
        });
  }

  auto onAccepted(const error_code &Error, tcp::socket Socket) -> void {
    if (Error == asio::error::operation_aborted) {
      return;
    }
    if (Error) {
      m_Shared->m_Timers.start(base::SteadyTime::clock::now() + AcceptRetryDelay,
                               [Weak = weak_from_this()] {
                                 if (const auto Self = Weak.lock()) {
                                   Self->accept();
                                 }
                               });
      return;
    }
    if (m_Shared->m_Connections.size() < m_Shared->m_Options.m_MaxConnections ||
        m_Shared->m_Memory.evictOldest()) {
      const auto Connection = std::make_shared<CallerConnection>(std::move(Socket), m_Shared);
      m_Shared->m_Connections.insert(Connection);
      Connection->start();
    }
    accept();
  }

  /// Calls the function of each connection. It may close connections.
  auto forEach(void (CallerConnection::*Function)()) -> void {
    const auto Connections =
        std::vector(m_Shared->m_Connections.begin(), m_Shared->m_Connections.end());
    for (const auto &Connection : Connections) {
      (Connection.get()->*Function)();
    }
  }

  tcp::acceptor m_Acceptor;
  std::shared_ptr<SharedServerState> m_Shared;
};

CallerServer::CallerServer(asio::io_context &Loop, base::ITimers &Timers, const base::IClock &Clock,
                           ServerOptions Options)
    : m_State(std::make_shared<State>(Loop, Timers, Clock, Options)) {}

CallerServer::~CallerServer() {
  auto Ignored = error_code();
  m_State->m_Acceptor.close(Ignored);
  m_State->m_Shared->m_Connections.clear();
}

auto CallerServer::listen(const std::string &Address, std::uint16_t Port,
                          forwarding::ForwardingContext &Context) -> absl::Status {
  m_State->m_Shared->m_Context = &Context;
  return m_State->open(Address, Port);
}

auto CallerServer::listen(const std::string &Address, std::uint16_t Port, DirectHandler Handler)
    -> absl::Status {
  m_State->m_Shared->m_Handler = std::move(Handler);
  return m_State->open(Address, Port);
}

auto CallerServer::closeAfterResponses() -> void {
  m_State->m_Shared->m_ClosesAfterResponses = true;
}

auto CallerServer::closeIdle() -> void { m_State->forEach(&CallerConnection::closeIfIdle); }

auto CallerServer::answerBeforeStop() -> void {
  m_State->forEach(&CallerConnection::answerBeforeStop);
}

auto CallerServer::connections() const -> std::size_t {
  return m_State->m_Shared->m_Connections.size();
}

auto CallerServer::memory() -> MemoryAccount & { return m_State->m_Shared->m_Memory; }

} // namespace geraniumlift::transport
