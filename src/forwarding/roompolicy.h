#pragma once

#include "base/nametable.h"

#include <chrono>
#include <cstdint>

namespace geraniumlift::forwarding {

/// Why a request gets no room.
enum class RoomRefusal {
  None,
  /// The first event would come after the caller's deadline.
  TooLate,
  /// All targets of the pool have just turned requests away.
  Full,
};

inline constexpr auto RoomRefusalNames = std::array{
    base::NamedValue<RoomRefusal>{RoomRefusal::None, "none"},
    base::NamedValue<RoomRefusal>{RoomRefusal::TooLate, "too_late"},
    base::NamedValue<RoomRefusal>{RoomRefusal::Full, "full"},
};

/// What is known of a pool's room.
struct PoolRoom {
  /// Share of the slots that requests take up, queued ones included; 0 if the slots are not known.
  double m_TakenShare = 0.0;

  /// Whether all targets have just turned requests away and hold no fewer now.
  bool m_IsFull = false;

  /// Number of answers that the pool's figures rest on, and the time since the last one.
  double m_Answers = 0.0;
  std::chrono::milliseconds m_Age = std::chrono::milliseconds::max();
};

/// A request before it is sent to the best target.
struct RoomRequest {
  /// Forecast of the best target.
  double m_FirstEventMs = 0.0;
  std::chrono::milliseconds m_TimeLeft{0};

  /// 0 is the most urgent.
  std::int64_t m_Priority = 0;

  /// Random number of the request.
  std::uint64_t m_Salt = 0;
};

/// Whether the request is sent, and if not, when it has a chance.
struct RoomDecision {
  RoomRefusal m_Refusal = RoomRefusal::None;
  std::chrono::milliseconds m_RetryAfter{0};
};

/// Decides before sending whether a request gets room at its pool. Answers a load beyond what the
/// pool can take: where all requests are sent, queues grow to the deadline of the callers and
/// nobody is served in time. While slots are free, nothing is refused as too late, because a false
/// refusal loses more than a late answer. Once all slots are taken, each request that comes too
/// late takes the room of one that would not: requests whose forecast comes near their deadline are
/// refused, the less urgent ones from a shorter forecast on. Near the limit only a share of the
/// requests is refused, by their random numbers: routers that decide on the same old figures do not
/// all refuse at once, nor all send at once. No kind and no size is refused for what others do,
/// only for its own forecast.
class RoomPolicy {
public:
  /// Fewer or older answers are no ground for a refusal.
  static constexpr auto MinAnswers = 8.0;
  static constexpr auto MaxAge = std::chrono::milliseconds(2000);

  /// No request is refused as too late while fewer of the pool's slots are taken.
  static constexpr auto MinTakenShare = 1.0;

  /// How long a target that turned a request away is expected to be full.
  static constexpr auto FullTime = std::chrono::milliseconds(200);
  static constexpr auto MaxRetryAfter = std::chrono::milliseconds(5000);

  [[nodiscard]] static auto decide(const RoomRequest &Request, const PoolRoom &Room)
      -> RoomDecision;
};

} // namespace geraniumlift::forwarding
