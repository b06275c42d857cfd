#pragma once

#include "standins/platform/storestandin.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <thread>

namespace geraniumlift::standins {

/// What a BrokenTarget sends in answer to each request.
struct BrokenAnswer {
  /// How the connection ends. A close with bytes of the request unread resets the connection.
  enum class Ending { Close, Stay };

  /// Sent as it is; "{id}" stands for the ID of the request.
  std::string m_Start;

  /// Sent after m_Start again and again, until the caller closes the connection.
  std::string m_Endless;
  Ending m_Ending = Ending::Stay;

  /// Whether the answer begins when the head of the request has arrived, not at its end.
  bool m_IsEarly = false;
};

/// A registered target in trouble: its answers are broken. Runs on a thread of its own.
class BrokenTarget {
public:
  BrokenTarget(StoreStandin &Store, const std::string &Id, const std::string &Pool, int Slots,
               BrokenAnswer Answer);
  ~BrokenTarget();
  BrokenTarget(const BrokenTarget &) = delete;
  auto operator=(const BrokenTarget &) -> BrokenTarget & = delete;

  /// Requests that have arrived.
  [[nodiscard]] auto requests() const -> int { return m_Requests; }

private:
  class Connection;

  auto accept() -> void;

  BrokenAnswer m_Answer;
  boost::asio::io_context m_Loop;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::atomic<int> m_Requests{0};
  std::thread m_Thread;
};

} // namespace geraniumlift::standins
