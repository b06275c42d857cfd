#pragma once

#include <chrono>
#include <string>

namespace geraniumlift::review {

/// What a client has received of an answer.
struct ClientAnswer {
  /// 0 if no whole head has arrived.
  int m_Status = 0;
  bool m_IsComplete = false;

  /// Whether at least one byte of an answer has arrived.
  bool m_HasBegun = false;

  /// Whether the other side has closed the channel.
  bool m_IsClosed = false;
  bool m_KeepsChannel = false;
  std::string m_Body;
};

/// A client's channel to one address on loopback, with blocking calls.
class HttpChannel {
public:
  HttpChannel(std::string Ip, int Port) : m_Ip(std::move(Ip)), m_Port(Port) {}
  ~HttpChannel() { close(); }
  HttpChannel(const HttpChannel &) = delete;
  auto operator=(const HttpChannel &) -> HttpChannel & = delete;

  /// Opens the channel unless it is open. Returns false if that fails.
  auto open() -> bool;
  auto close() -> void;

  /// Whether the channel is open and the other side has not closed it.
  [[nodiscard]] auto isOpen() const -> bool;
  [[nodiscard]] auto socket() const -> int { return m_Socket; }

  auto send(const std::string &Bytes) const -> bool;

  /// Reads one answer, until it is whole, the channel ends or the time is over.
  auto receive(std::chrono::milliseconds Timeout) -> ClientAnswer;

private:
  std::string m_Ip;
  int m_Port;
  int m_Socket = -1;
};

} // namespace geraniumlift::review
