#include "httpserver.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

/// Ports that freePort() gives out, below those that the system gives to outgoing connections. The
/// first one depends on the process, so that two tests at a time seldom try the same.
constexpr auto FirstPort = 20000;
constexpr auto PortCount = 12000;
constexpr auto PortSpread = 11000;

auto loopback(int Port) -> sockaddr_in {
  auto Address = sockaddr_in();
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

auto bindTo(int Socket, const sockaddr_in &Address) -> bool {
  return ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) == 0;
}

auto boundPort(int Socket) -> int {
  auto Address = sockaddr_in();
  auto Size = socklen_t{sizeof(Address)};
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

auto lowerCase(std::string Text) -> std::string {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return static_cast<char>(std::tolower(Letter)); });
  return Text;
}

auto parseHead(const std::string &Text, Message &Into) -> void {
  auto Lines = std::istringstream(Text);
  std::getline(Lines, Into.m_Start);
  if (!Into.m_Start.empty() && Into.m_Start.back() == '\r') {
    Into.m_Start.pop_back();
  }
  auto Line = std::string();
  while (std::getline(Lines, Line)) {
    const auto Colon = Line.find(':');
    if (Colon == std::string::npos) {
      continue;
    }
    const auto Begin = Line.find_first_not_of(" \t", Colon + 1);
    const auto End = Line.find_last_not_of(" \t\r");
    Into.m_Fields[lowerCase(Line.substr(0, Colon))] =
        Begin == std::string::npos || End < Begin ? "" : Line.substr(Begin, End - Begin + 1);
  }
}

} // namespace

auto Message::field(const std::string &Name) const -> std::string {
  const auto Found = m_Fields.find(Name);
  return Found == m_Fields.end() ? std::string() : Found->second;
}

auto Message::secondWord() const -> std::string {
  const auto Begin = m_Start.find(' ');
  if (Begin == std::string::npos) {
    return {};
  }
  return m_Start.substr(Begin + 1, m_Start.find(' ', Begin + 1) - Begin - 1);
}

Connection::~Connection() {
  if (m_Socket >= 0) {
    ::close(m_Socket);
  }
}

auto Connection::connectTo(int Port) -> int {
  const auto Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto Address = loopback(Port);
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) != 0) {
    ::close(Socket);
    return -1;
  }
  const auto On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  return Socket;
}

auto Connection::fill(Clock::time_point Until) -> bool {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(Until - Clock::now());
  auto Wait = pollfd{m_Socket, POLLIN, 0};
  if (m_Socket < 0 || Left <= 0ms || ::poll(&Wait, 1, static_cast<int>(Left.count())) <= 0) {
    return false;
  }
  auto Bytes = std::array<char, 65536>();
  const auto Size = ::recv(m_Socket, Bytes.data(), Bytes.size(), 0);
  if (Size <= 0) {
    return false;
  }
  m_Buffer.append(Bytes.data(), static_cast<std::size_t>(Size));
  return true;
}

auto Connection::readChunks(Message &Into, Clock::time_point Until) -> bool {
  while (true) {
    auto LineEnd = m_Buffer.find("\r\n");
    while (LineEnd == std::string::npos) {
      if (!fill(Until)) {
        return false;
      }
      LineEnd = m_Buffer.find("\r\n");
    }
    const auto Size = std::stoul(m_Buffer.substr(0, LineEnd), nullptr, 16);
    const auto Whole = LineEnd + 2 + Size + 2;
    while (m_Buffer.size() < Whole) {
      if (!fill(Until)) {
        return false;
      }
    }
    Into.m_Body += m_Buffer.substr(LineEnd + 2, Size);
    m_Buffer.erase(0, Whole);
    if (Size == 0) {
      return true;
    }
  }
}

auto Connection::read(Message &Into, std::chrono::milliseconds Timeout) -> bool {
  const auto Until = Clock::now() + Timeout;
  Into = Message();
  auto HeadEnd = m_Buffer.find("\r\n\r\n");
  while (HeadEnd == std::string::npos) {
    if (!fill(Until)) {
      return false;
    }
    HeadEnd = m_Buffer.find("\r\n\r\n");
  }
  parseHead(m_Buffer.substr(0, HeadEnd + 2), Into);
  m_Buffer.erase(0, HeadEnd + 4);
  if (Into.field("transfer-encoding") == "chunked") {
    return readChunks(Into, Until);
  }
  const auto Length = Into.field("content-length");
  const auto Size = Length.empty() ? std::size_t{0} : std::stoul(Length);
  while (m_Buffer.size() < Size) {
    if (!fill(Until)) {
      return false;
    }
  }
  Into.m_Body = m_Buffer.substr(0, Size);
  m_Buffer.erase(0, Size);
  return true;
}

auto Connection::write(const std::string &Bytes) const -> bool {
  auto Sent = std::size_t{0};
  while (Sent < Bytes.size()) {
    const auto Size = ::send(m_Socket, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Size <= 0) {
      return false;
    }
    Sent += static_cast<std::size_t>(Size);
  }
  return true;
}

auto Connection::shutDown() const -> void { ::shutdown(m_Socket, SHUT_RDWR); }

HttpServer::HttpServer(Handler OnRequest)
    : m_Handler(std::move(OnRequest)),
      m_Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const auto Address = loopback(0);
  bindTo(m_Listener, Address);
  ::listen(m_Listener, 256);
  m_Port = boundPort(m_Listener);
  m_Acceptor = std::thread([this] { accept(); });
}

HttpServer::~HttpServer() {
  m_IsStopping = true;
  ::shutdown(m_Listener, SHUT_RDWR);
  m_Acceptor.join();
  ::close(m_Listener);
  while (m_Threads > 0) {
    {
      const auto Lock = std::lock_guard(m_Mutex);
      for (const auto *Item : m_Connections) {
        Item->shutDown();
      }
    }
    std::this_thread::sleep_for(5ms);
  }
}

auto HttpServer::accept() -> void {
  while (!m_IsStopping) {
    const auto Socket = ::accept4(m_Listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0) {
      continue;
    }
    const auto On = 1;
    ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    ++m_Threads;
    std::thread([this, Socket] {
      serve(Socket);
      --m_Threads;
    }).detach();
  }
}

auto HttpServer::serve(int Socket) -> void {
  auto Caller = Connection(Socket);
  {
    const auto Lock = std::lock_guard(m_Mutex);
    m_Connections.insert(&Caller);
  }
  auto Request = Message();
  while (!m_IsStopping && Caller.read(Request, 20000ms) && m_Handler(Caller, Request)) {
  }
  const auto Lock = std::lock_guard(m_Mutex);
  m_Connections.erase(&Caller);
}

auto jsonResponse(int Status, const std::string &Body) -> std::string {
  return "HTTP/1.1 " + std::to_string(Status) +
         " x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

auto freePort() -> int {
  static auto Next = std::atomic<int>(FirstPort + ::getpid() * 197 % PortSpread);
  while (true) {
    const auto Port = FirstPort + (Next++ - FirstPort) % PortCount;
    const auto Address = loopback(Port);
    const auto Tcp = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto Udp = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const auto IsFree = bindTo(Tcp, Address) && bindTo(Udp, Address);
    ::close(Tcp);
    ::close(Udp);
    if (IsFree) {
      return Port;
    }
  }
}

} // namespace review
