#include "httpchannel.h"

#include "http1/messageparser.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace geraniumlift::review {

using std::chrono::milliseconds;

auto HttpChannel::open() -> bool {
  if (m_Socket >= 0) {
    return true;
  }
  m_Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Address = sockaddr_in();
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(m_Port));
  ::inet_pton(AF_INET, m_Ip.c_str(), &Address.sin_addr);
  if (::connect(m_Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0) {
    close();
    return false;
  }
  auto On = 1;
  ::setsockopt(m_Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return true;
}

auto HttpChannel::close() -> void {
  if (m_Socket >= 0) {
    ::close(m_Socket);
    m_Socket = -1;
  }
}

auto HttpChannel::isOpen() const -> bool {
  if (m_Socket < 0) {
    return false;
  }
  auto Byte = char{0};
  const auto Size = ::recv(m_Socket, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Size > 0 || (Size < 0 && errno == EAGAIN);
}

auto HttpChannel::send(const std::string &Bytes) const -> bool {
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    const auto Sent = ::send(m_Socket, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
    if (Sent <= 0) {
      return false;
    }
    Done += static_cast<std::size_t>(Sent);
  }
  return true;
}

auto HttpChannel::receive(milliseconds Timeout) -> ClientAnswer {
  auto Parser = http1::ResponseParser(http1::MessageLimits());
  auto Result = ClientAnswer();
  const auto End = std::chrono::steady_clock::now() + Timeout;
  auto Buffer = std::array<char, 16384>();
  while (!Parser.isDone()) {
    const auto Left =
        std::chrono::duration_cast<milliseconds>(End - std::chrono::steady_clock::now());
    auto Wait = pollfd{m_Socket, POLLIN, 0};
    if (Left <= milliseconds(0) || ::poll(&Wait, 1, static_cast<int>(Left.count())) <= 0) {
      break;
    }
    const auto Size = ::recv(m_Socket, Buffer.data(), Buffer.size(), 0);
    if (Size <= 0) {
      Result.m_IsClosed = true;
      break;
    }
    Result.m_HasBegun = true;
    if (!Parser.feed({Buffer.data(), static_cast<std::size_t>(Size)}).ok()) {
      break;
    }
  }
  if (Parser.isHeadDone()) {
    Result.m_Status = Parser.head().m_Status;
    Result.m_Body = Parser.body();
    Result.m_IsComplete = Parser.isDone();
    Result.m_KeepsChannel = Parser.isDone() && Parser.keepsConnection();
  }
  return Result;
}

} // namespace geraniumlift::review
