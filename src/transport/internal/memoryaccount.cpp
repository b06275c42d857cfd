#include "transport/memoryaccount.h"

#include <algorithm>
#include <utility>

namespace geraniumlift::transport {

using namespace std::chrono_literals;

namespace {

/// Room that is made for waiting connections, as a part of the limit.
constexpr auto WaitingRoomDivisor = std::size_t{8};

/// Part of the limit that waiting connections may leave unread.
constexpr auto UnreadDivisor = std::size_t{4};

/// Room without which no waiting connection is woken.
constexpr auto WakeBytes = std::size_t{8192};

/// A connection that never had a request is preferred for eviction after this time.
constexpr auto SilentTime = 1000ms;

} // namespace

MemoryAccount::MemoryAccount(base::ITimers &Timers, const base::IClock &Clock,
                             MemoryOptions Options)
    : m_Timers(Timers), m_Clock(Clock), m_Options(Options) {}

auto MemoryAccount::limit() const -> std::size_t {
  return std::max(m_Options.m_Bytes, m_LargestRequest + m_Options.m_SmallBytes);
}

auto MemoryAccount::evictions(EvictionReason Reason) const -> std::uint64_t {
  return m_Evictions[static_cast<std::size_t>(Reason)];
}

auto MemoryAccount::enter(IMemoryHolder &Holder, std::uint32_t Address) -> Place {
  m_Entries.push_back({&Holder, Address, 0, m_Clock.steadyNow()});
  return std::prev(m_Entries.end());
}

auto MemoryAccount::leave(Place Where) -> void {
  if (Where->m_IsWaiting) {
    std::erase(m_Waiting, Where);
  }
  change(*Where, 0);
  m_Entries.erase(Where);
  wake();
}

auto MemoryAccount::touch(Place Where) -> void {
  Where->m_LastMove = m_Clock.steadyNow();
  m_Entries.splice(m_Entries.end(), m_Entries, Where);
}

auto MemoryAccount::setServed(Place Where) -> void { Where->m_HasServed = true; }

auto MemoryAccount::change(Entry &Item, std::size_t Bytes) -> void {
  if (Item.m_Held == Bytes) {
    return;
  }
  const auto Address = m_HeldByAddress.try_emplace(Item.m_Address, 0).first;
  Address->second += Bytes - Item.m_Held;
  if (Address->second == 0) {
    m_HeldByAddress.erase(Address);
  }
  m_Held += Bytes - Item.m_Held;
  Item.m_Held = Bytes;
}

auto MemoryAccount::mayRead(Place Where, std::size_t Bytes) -> bool {
  if (m_Held + Bytes > limit() && !makeRoom(*Where, Bytes)) {
    limitWaiting(*Where, Bytes);
    if (m_Held + Bytes > limit()) {
      if (!std::exchange(Where->m_IsWaiting, true)) {
        m_Waiting.push_back(Where);
      }
      startTimer();
      return false;
    }
  }
  change(*Where, Where->m_Held + Bytes);
  return true;
}

auto MemoryAccount::setHeld(Place Where, std::size_t Bytes, Evictability When) -> void {
  Where->m_When = When;
  const auto HasGrown = Bytes > Where->m_Held;
  change(*Where, Bytes);
  if (!HasGrown) {
    wake();
  } else if (m_Held > limit()) {
    makeRoom(*Where, 0);
  }
}

auto MemoryAccount::makeRoom(const Entry &For, std::size_t Bytes) -> bool {
  if (std::exchange(m_IsMakingRoom, true)) {
    return false;
  }
  const auto IsSmall = For.m_Held + Bytes <= m_Options.m_SmallBytes;
  auto HasRoom = true;
  while (HasRoom && m_Held + Bytes > limit()) {
    auto *Victim = pick(For, Bytes, IsSmall ? Choice::NotSmaller : Choice::Stalled);
    HasRoom = Victim != nullptr;
    if (HasRoom) {
      evict(*Victim, EvictionReason::Memory);
    }
  }
  m_IsMakingRoom = false;
  return HasRoom;
}

auto MemoryAccount::pick(const Entry &For, std::size_t Bytes, Choice Allowed) -> Entry * {
  const auto Now = m_Clock.steadyNow();
  Entry *Best = nullptr;
  auto BestWeight = 0.0;
  for (auto &Item : m_Entries) {
    if (&Item == &For || Item.m_Held == 0 || Item.m_When == Evictability::Never) {
      continue;
    }
    const auto Idle = Now - Item.m_LastMove;
    const auto IsStalled = !Item.m_IsWaiting && Idle >= m_Options.m_StallTime;
    const auto IsAllowed = Item.m_When == Evictability::Always &&
                           (Allowed == Choice::Any ||
                            (Allowed == Choice::NotSmaller && Item.m_Held >= For.m_Held + Bytes));
    if (!IsStalled && !IsAllowed) {
      continue;
    }
    const auto Weight = static_cast<double>(Item.m_Held) *
                        static_cast<double>((Idle + 1ms).count()) *
                        static_cast<double>(m_HeldByAddress[Item.m_Address]);
    if (Best == nullptr || Weight > BestWeight) {
      Best = &Item;
      BestWeight = Weight;
    }
  }
  return Best;
}

auto MemoryAccount::evict(Entry &Item, EvictionReason Reason) -> void {
  ++m_Evictions[static_cast<std::size_t>(Reason)];
  // The holder is chosen once only, even if it still needs its bytes.
  Item.m_When = Evictability::Never;
  if (std::exchange(Item.m_IsWaiting, false)) {
    std::erase_if(m_Waiting, [&Item](Place Where) { return &*Where == &Item; });
  }
  Item.m_Holder->evict(Reason);
}

auto MemoryAccount::evictOldest() -> bool {
  const auto Now = m_Clock.steadyNow();
  Entry *Oldest = nullptr;
  for (auto &Item : m_Entries) {
    if (Oldest != nullptr && Now - Item.m_LastMove < SilentTime) {
      break;
    }
    if (Item.m_When != Evictability::Always) {
      continue;
    }
    if (Oldest == nullptr) {
      Oldest = &Item;
    }
    if (!Item.m_HasServed && Item.m_Held == 0) {
      Oldest = &Item;
      break;
    }
  }
  if (Oldest == nullptr) {
    return false;
  }
  evict(*Oldest, EvictionReason::Connections);
  return true;
}

auto MemoryAccount::limitWaiting(const Entry &For, std::size_t Bytes) -> void {
  const auto MaxWaiting = limit() / UnreadDivisor / m_Options.m_UnreadBytes + 1;
  if (m_Waiting.size() < MaxWaiting || std::exchange(m_IsMakingRoom, true)) {
    return;
  }
  while (m_Waiting.size() >= MaxWaiting && m_Held + Bytes > limit()) {
    auto *Victim = pick(For, 0, Choice::Any);
    if (Victim == nullptr) {
      break;
    }
    evict(*Victim, EvictionReason::Memory);
  }
  m_IsMakingRoom = false;
}

auto MemoryAccount::wake() -> void {
  while (!m_IsMakingRoom && !m_Waiting.empty() && m_Held + WakeBytes <= limit()) {
    const auto Where = m_Waiting.front();
    m_Waiting.pop_front();
    Where->m_IsWaiting = false;
    m_HasWoken = true;
    // The time of waiting was not the caller's.
    touch(Where);
    Where->m_Holder->onRoom();
  }
}

auto MemoryAccount::startTimer() -> void {
  if (std::exchange(m_IsTimerRunning, true)) {
    return;
  }
  m_Timers.start(m_Clock.steadyNow() + m_Options.m_WaitPeriod,
                 [this, Life = std::weak_ptr(m_Life)] {
                   if (!Life.expired()) {
                     onTimer();
                   }
                 });
}

auto MemoryAccount::onTimer() -> void {
  m_IsTimerRunning = false;
  const auto Allowed = std::exchange(m_HasWoken, false) ? Choice::Stalled : Choice::Any;
  m_IsMakingRoom = true;
  while (!m_Waiting.empty() && m_Held + limit() / WaitingRoomDivisor > limit()) {
    auto *Victim = pick(*m_Waiting.front(), 0, Allowed);
    if (Victim == nullptr) {
      break;
    }
    evict(*Victim, EvictionReason::Memory);
  }
  m_IsMakingRoom = false;
  wake();
  if (!m_Waiting.empty()) {
    startTimer();
  }
}

} // namespace geraniumlift::transport
