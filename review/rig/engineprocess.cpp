// A runner in a process of its own, so that it can be killed. Arguments: PORT ID, the milliseconds
// until the first event and between events, and the number of events.

#include "http1/messageparser.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace geraniumlift;
using std::chrono::milliseconds;

struct Options {
  int m_Port = 0;
  std::string m_Id;
  milliseconds m_FirstEvent{0};
  milliseconds m_Gap{0};
  int m_Events = 0;
};

auto sendAll(int Socket, const std::string &Bytes) -> bool {
  return ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(Bytes.size());
}

auto writeLog(const std::string &Line) -> void {
  static auto Mutex = std::mutex();
  const auto Lock = std::lock_guard(Mutex);
  std::cout << Line << std::endl;
}

auto fieldOf(const http1::RequestHead &Head, std::string_view Name) -> std::string {
  return std::string(Head.m_Fields.find(Name).value_or(""));
}

auto commonFields(const std::string &RequestId) -> std::string {
  return fmt::format("Request-Id: {}\r\nServer-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
                     RequestId);
}

/// Sends the events of a stream after the one that the caller has. Returns false if it has left.
auto sendStream(int Socket, const Options &Config, const http1::RequestHead &Head) -> bool {
  const auto After = fieldOf(Head, "Last-Event-Id");
  std::this_thread::sleep_for(Config.m_FirstEvent);
  if (!sendAll(Socket, fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n{}\r\n",
                                   commonFields(fieldOf(Head, "Request-Id"))))) {
    return false;
  }
  for (auto Event = After.empty() ? 1 : std::stoi(After) + 1; Event <= Config.m_Events; ++Event) {
    const auto Text = fmt::format("id: {}\ndata: {:050}\n\n", Event, Event);
    if (!sendAll(Socket, fmt::format("{:x}\r\n{}\r\n", Text.size(), Text))) {
      return false;
    }
    std::this_thread::sleep_for(Config.m_Gap);
  }
  return sendAll(Socket, "0\r\n\r\n");
}

auto answer(int Socket, const Options &Config, const http1::RequestHead &Head) -> bool {
  const auto RequestId = fieldOf(Head, "Request-Id");
  if (Head.m_Target == "/health") {
    return sendAll(Socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }
  if (fieldOf(Head, "Expect-Instance") != Config.m_Id) {
    return sendAll(Socket, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
  }
  writeLog("received " + RequestId);
  if (!Head.m_Fields.has("Prompt-Prefix")) {
    std::this_thread::sleep_for(Config.m_FirstEvent);
    return sendAll(Socket, fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n{}\r\ndone",
                                       commonFields(RequestId)));
  }
  return sendStream(Socket, Config, Head);
}

auto serve(int Socket, const Options &Config) -> void {
  auto Buffer = std::array<char, 16384>();
  auto IsOpen = true;
  while (IsOpen) {
    auto Parser = http1::RequestParser(http1::MessageLimits());
    while (IsOpen && !Parser.isDone()) {
      const auto Size = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
      IsOpen = Size > 0 && Parser.feed({Buffer.data(), static_cast<std::size_t>(Size)}).ok();
    }
    IsOpen = IsOpen && answer(Socket, Config, Parser.head());
  }
  ::close(Socket);
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  if (Count != 6) {
    return 2;
  }
  const auto Config =
      Options{std::stoi(Arguments[1]), Arguments[2], milliseconds(std::stoi(Arguments[3])),
              milliseconds(std::stoi(Arguments[4])), std::stoi(Arguments[5])};
  const auto Listener = ::socket(AF_INET, SOCK_STREAM, 0);
  auto On = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  auto Address = sockaddr_in();
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Config.m_Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(Listener, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0 ||
      ::listen(Listener, 1024) != 0) {
    return 2;
  }
  while (true) {
    const auto Socket = ::accept(Listener, nullptr, nullptr);
    if (Socket >= 0) {
      ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([Socket, &Config] { serve(Socket, Config); }).detach();
    }
  }
}
