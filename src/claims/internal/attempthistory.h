#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace geraniumlift::claims::internal {

/// State of an attempt of this router.
enum class AttemptState {
  /// The claim is being made, or its request is in flight.
  InFlight,
  /// The request was not sent and will not be; a claim of this attempt may be taken over.
  NotSent,
  /// The request was sent.
  MayHaveRun,
};

/// Keeps the states of this router's attempts, because a write of an abandoned attempt may still
/// take effect later.
class AttemptHistory {
public:
  auto setState(const std::string &Attempt, AttemptState State) -> void {
    if (m_States.insert_or_assign(Attempt, State).second) {
      m_Order.push_back(Attempt);
    }
    if (m_Order.size() > MaxAttempts) {
      m_States.erase(m_Order.front());
      m_Order.pop_front();
    }
  }

  /// Returns the state of an attempt, MayHaveRun if the attempt is no longer known.
  [[nodiscard]] auto stateOf(const std::string &Attempt) const -> AttemptState {
    const auto Found = m_States.find(Attempt);
    return Found == m_States.end() ? AttemptState::MayHaveRun : Found->second;
  }

private:
  /// Takes about 8 MB. A retry of a forgotten attempt is refused as outcome_unknown, which is safe.
  static constexpr std::size_t MaxAttempts = 65536;

  std::map<std::string, AttemptState> m_States;
  std::deque<std::string> m_Order;
};

} // namespace geraniumlift::claims::internal
