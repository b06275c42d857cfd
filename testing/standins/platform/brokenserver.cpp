#include "standins/platform/brokenserver.h"

#include "http1/messageparser.h"

#include <absl/strings/str_replace.h>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace geraniumlift::standins {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr auto RequestLimits = http1::MessageLimits{16 * 1024, std::uint64_t{8} * 1024 * 1024};

/// Size to which the endless part is repeated, so that it is sent in few writes.
constexpr auto RepeatedBytes = std::size_t{16} * 1024;

auto repeated(const std::string &Part) -> std::string {
  auto Text = Part;
  while (!Part.empty() && Text.size() < RepeatedBytes) {
    Text += Part;
  }
  return Text;
}

} // namespace

class BrokenServer::Connection : public std::enable_shared_from_this<Connection> {
public:
  Connection(tcp::socket Socket, BrokenAnswer Answer, BrokenServer &Owner)
      : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()), m_Answer(std::move(Answer)),
        m_Owner(Owner), m_Endless(repeated(m_Answer.m_Endless)) {}

  auto read() -> void {
    m_Socket.async_read_some(
        boost::asio::buffer(m_Buffer),
        [Self = shared_from_this()](const error_code &Error, std::size_t Size) {
          if (!Error) {
            Self->take(std::string_view(Self->m_Buffer.data(), Size));
          }
        });
  }

private:
  auto take(std::string_view Bytes) -> void {
    const auto IsReady = m_Request.feed(Bytes).ok() &&
                         (m_Answer.m_IsEarly ? m_Request.isHeadDone() : m_Request.isDone());
    if (!IsReady || m_HasAnswered) {
      read();
      return;
    }
    m_HasAnswered = true;
    const auto Id = std::string(m_Request.head().m_Fields.find("Request-Id").value_or(""));
    m_Owner.record(Id);
    m_Out = absl::StrReplaceAll(m_Answer.m_Start, {{"{id}", Id}});
    if (m_Answer.m_Delay.count() == 0) {
      write();
      return;
    }
    m_Timer.expires_after(m_Answer.m_Delay);
    m_Timer.async_wait([Self = shared_from_this()](const error_code &) { Self->write(); });
  }

  auto write() -> void {
    boost::asio::async_write(m_Socket, boost::asio::buffer(m_Out),
                             [Self = shared_from_this()](const error_code &Error, std::size_t) {
                               if (!Error) {
                                 Self->onWritten();
                               }
                             });
  }

  auto onWritten() -> void {
    if (!m_Endless.empty()) {
      m_Out = m_Endless;
      write();
      return;
    }
    if (m_Answer.m_Ending == BrokenAnswer::Ending::Stay) {
      read();
    }
  }

  tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  BrokenAnswer m_Answer;
  BrokenServer &m_Owner;
  std::string m_Endless;
  http1::RequestParser m_Request{RequestLimits};
  std::string m_Out;
  bool m_HasAnswered = false;
  std::array<char, 16384> m_Buffer;
};

BrokenServer::BrokenServer(BrokenAnswer Answer)
    : m_Answer(std::move(Answer)),
      m_Acceptor(m_Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  accept();
  m_Thread = std::thread([this] { m_Loop.run(); });
}

BrokenServer::~BrokenServer() {
  m_Loop.stop();
  m_Thread.join();
}

auto BrokenServer::answerWith(BrokenAnswer Answer) -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  m_Answer = std::move(Answer);
}

auto BrokenServer::record(const std::string &RequestId) -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  ++m_Requests;
  m_Received.insert(RequestId);
}

auto BrokenServer::hasReceived(const std::string &RequestId) -> bool {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_Received.contains(RequestId);
}

auto BrokenServer::accept() -> void {
  m_Acceptor.async_accept([this](const error_code &Error, tcp::socket Socket) {
    if (!Error) {
      const auto Lock = std::lock_guard(m_Mutex);
      std::make_shared<Connection>(std::move(Socket), m_Answer, *this)->read();
      accept();
    }
  });
}

} // namespace geraniumlift::standins
