#include "forwarding/roompolicy.h"

#include <algorithm>

namespace geraniumlift::forwarding {

using std::chrono::milliseconds;

namespace {

/// Safety factor on the forecast: the most urgent requests have none, each step of priority adds to
/// it.
constexpr auto FactorStep = 0.15;
constexpr auto MaxFactor = 1.3;

/// Between these shares of the deadline the share that is refused grows from 0 to 1.
constexpr auto NoneRefusedAt = 0.9;
constexpr auto AllRefusedAt = 1.1;

constexpr auto SaltSteps = std::uint64_t{1024};

constexpr auto MinRetryAfter = milliseconds(100);

} // namespace

auto RoomPolicy::decide(const RoomRequest &Request, const PoolRoom &Room) -> RoomDecision {
  if (Room.m_IsFull) {
    return {RoomRefusal::Full, FullTime};
  }
  if (Room.m_Answers < MinAnswers || Room.m_Age > MaxAge || Room.m_TakenShare < MinTakenShare) {
    return {};
  }
  const auto Factor =
      std::clamp(1.0 + FactorStep * static_cast<double>(Request.m_Priority), 1.0, MaxFactor);
  const auto Left = std::max(1.0, static_cast<double>(Request.m_TimeLeft.count()));
  const auto Ratio = Request.m_FirstEventMs * Factor / Left;
  const auto Drawn =
      static_cast<double>(Request.m_Salt % SaltSteps) / static_cast<double>(SaltSteps);
  if ((Ratio - NoneRefusedAt) / (AllRefusedAt - NoneRefusedAt) <= Drawn) {
    return {};
  }
  // By then the queue is as long as the time that such a request has.
  const auto Excess =
      milliseconds(static_cast<std::int64_t>(Request.m_FirstEventMs * Factor - Left));
  return {RoomRefusal::TooLate, std::clamp(Excess, MinRetryAfter, MaxRetryAfter)};
}

} // namespace geraniumlift::forwarding
