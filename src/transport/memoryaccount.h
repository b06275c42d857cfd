#pragma once

#include "base/itimers.h"
#include "transport/imemoryholder.h"

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

namespace geraniumlift::transport {

/// Limits of a MemoryAccount.
struct MemoryOptions {
  /// Bytes that all connections may hold.
  std::size_t m_Bytes = std::size_t{32} * 1024 * 1024;

  /// A connection that holds no more than this takes room from those that hold as much or more,
  /// even if these move.
  std::size_t m_SmallBytes = std::size_t{48} * 1024;

  /// A connection without any movement for this long gives way to one that moves.
  std::chrono::milliseconds m_StallTime{2000};

  /// What a connection that waits for room may leave unread in the kernel. Waiting connections may
  /// leave a quarter of m_Bytes there together.
  std::size_t m_UnreadBytes = std::size_t{64} * 1024;

  /// How often connections that wait for room are looked at.
  std::chrono::milliseconds m_WaitPeriod{250};
};

/// When a connection may be evicted.
enum class Evictability { Never, WhenStalled, Always };

/// Counts the bytes that connections hold and grants bytes before they are read. If it is short,
/// room comes first from the connections that hold most and move least; callers from the address
/// that holds most go first. Connections that get no room wait. Not thread-safe.
class MemoryAccount {
  struct Entry;

public:
  /// A connection's entry; valid until leave().
  using Place = std::list<Entry>::iterator;

  MemoryAccount(base::ITimers &Timers, const base::IClock &Clock, MemoryOptions Options);
  MemoryAccount(const MemoryAccount &) = delete;
  auto operator=(const MemoryAccount &) -> MemoryAccount & = delete;

  /// Adds a connection from the address. The holder must outlive its entry.
  auto enter(IMemoryHolder &Holder, std::uint32_t Address) -> Place;
  auto leave(Place Where) -> void;

  /// Notes that the connection has moved: bytes have arrived or were sent.
  auto touch(Place Where) -> void;

  /// Notes that the connection has completed a request.
  auto setServed(Place Where) -> void;

  /// Adds the bytes to those that the connection holds, or returns false; onRoom() follows then.
  auto mayRead(Place Where, std::size_t Bytes) -> bool;

  /// States all that the connection holds, including what was granted.
  auto setHeld(Place Where, std::size_t Bytes, Evictability When) -> void;

  /// Makes place for a new connection: evicts one that has not moved for longest and is not being
  /// served, at first one that never had a request. Returns false if there is none.
  auto evictOldest() -> bool;

  /// A limit below the bytes that one request inside the callers' limits needs is raised to these.
  auto setLimit(std::size_t Bytes) -> void { m_Options.m_Bytes = Bytes; }
  auto setLargestRequest(std::size_t Bytes) -> void { m_LargestRequest = Bytes; }

  [[nodiscard]] auto limit() const -> std::size_t;
  [[nodiscard]] auto heldBytes() const -> std::size_t { return m_Held; }
  [[nodiscard]] auto waiting() const -> std::size_t { return m_Waiting.size(); }
  [[nodiscard]] auto evictions(EvictionReason Reason) const -> std::uint64_t;

private:
  struct Entry {
    IMemoryHolder *m_Holder;
    std::uint32_t m_Address;
    std::size_t m_Held = 0;
    base::SteadyTime m_LastMove;
    Evictability m_When = Evictability::Always;
    bool m_IsWaiting = false;
    bool m_HasServed = false;
  };

  /// Which connections pick() may choose besides the stalled ones.
  enum class Choice { Stalled, NotSmaller, Any };

  auto change(Entry &Item, std::size_t Bytes) -> void;
  auto makeRoom(const Entry &For, std::size_t Bytes) -> bool;
  auto pick(const Entry &For, std::size_t Bytes, Choice Allowed) -> Entry *;
  auto evict(Entry &Item, EvictionReason Reason) -> void;

  /// Evicts connections until there is room, or place among the waiting ones.
  auto limitWaiting(const Entry &For, std::size_t Bytes) -> void;
  auto wake() -> void;
  auto startTimer() -> void;
  auto onTimer() -> void;

  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  MemoryOptions m_Options;
  std::size_t m_LargestRequest = 0;
  std::size_t m_Held = 0;

  /// In the order of their last movement.
  std::list<Entry> m_Entries;
  std::deque<Place> m_Waiting;
  std::unordered_map<std::uint32_t, std::size_t> m_HeldByAddress;
  std::array<std::uint64_t, EvictionReasonNames.size()> m_Evictions{};
  bool m_IsTimerRunning = false;

  /// Expires with the account; the timers may be gone by then.
  std::shared_ptr<bool> m_Life = std::make_shared<bool>(true);
  bool m_IsMakingRoom = false;

  /// Whether a connection got room since the timer was last due.
  bool m_HasWoken = false;
};

} // namespace geraniumlift::transport
