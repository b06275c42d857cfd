#pragma once

#include "membership/membershiptypes.h"

#include <atomic>

namespace geraniumlift::membership {

/// Counts datagrams, bytes and rejected messages of the peer traffic. Thread-safe.
class TrafficCounter {
public:
  auto sentDatagram(std::size_t Bytes) -> void {
    ++m_DatagramsSent;
    sentBytes(Bytes);
  }

  auto receivedDatagram(std::size_t Bytes) -> void {
    ++m_DatagramsReceived;
    receivedBytes(Bytes);
  }

  auto sentBytes(std::size_t Bytes) -> void { m_BytesSent += static_cast<std::int64_t>(Bytes); }
  auto receivedBytes(std::size_t Bytes) -> void {
    m_BytesReceived += static_cast<std::int64_t>(Bytes);
  }
  auto unauthenticated() -> void { ++m_Unauthenticated; }
  auto malformed() -> void { ++m_Malformed; }

  [[nodiscard]] auto counts() const -> TrafficCounts {
    return {m_DatagramsSent, m_DatagramsReceived, m_BytesSent,
            m_BytesReceived, m_Unauthenticated,   m_Malformed};
  }

private:
  std::atomic<std::int64_t> m_DatagramsSent{0};
  std::atomic<std::int64_t> m_DatagramsReceived{0};
  std::atomic<std::int64_t> m_BytesSent{0};
  std::atomic<std::int64_t> m_BytesReceived{0};
  std::atomic<std::int64_t> m_Unauthenticated{0};
  std::atomic<std::int64_t> m_Malformed{0};
};

} // namespace geraniumlift::membership
