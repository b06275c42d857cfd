#pragma once

#include "base/iclock.h"

#include <string>
#include <vector>

namespace geraniumlift::fleet {

/// Limits of a RelayTracker.
struct RelayOptions {
  /// Number of unanswered messages in a row after which a router is taken to have failed.
  int m_MaxUnanswered = 3;

  /// Interval at which a failed router is tried again.
  std::chrono::milliseconds m_ProbeInterval{1000};
};

/// Decides which routers of one data centre get this router's reports. All routers rank the
/// candidates in the same order and use the first one that answers, so that they agree on one relay
/// without a message of their own. The next one is tried as soon as an answer is missing.
class RelayTracker {
public:
  RelayTracker(std::string Self, RelayOptions Options)
      : m_Self(std::move(Self)), m_Options(Options) {}

  /// Sets the routers of the data centre, the preferred one first. Routers that are already known
  /// keep their state.
  auto setCandidates(const std::vector<std::string> &Names) -> void;

  /// Records an answer of a router.
  auto onAnswer(const std::string &Router, bool IsResigning) -> void;

  /// Sets whether this router is stopping or has lost the store. It then relays only if no other
  /// candidate answers.
  auto setSelfResigning(bool IsResigning) -> void { m_IsSelfResigning = IsResigning; }

  /// Returns the routers to send to in this period, and counts the messages as unanswered.
  auto nextDestinations(base::SteadyTime Now) -> std::vector<std::string>;

  /// Whether no router that this one prefers to itself answered, as of the last nextDestinations().
  /// Never true for a data centre to which this router does not belong.
  [[nodiscard]] auto isSelfRelay() const -> bool { return m_IsSelfRelay; }

private:
  struct Candidate {
    std::string m_Name;

    /// Messages since the last answer.
    int m_Unanswered = 0;
    bool m_IsResigning = false;
    base::SteadyTime m_NextProbe = {};
  };

  [[nodiscard]] auto hasFailed(const Candidate &Item) const -> bool;

  std::string m_Self;
  RelayOptions m_Options;
  std::vector<Candidate> m_Candidates;
  bool m_IsSelfResigning = false;
  bool m_IsSelfRelay = false;
};

} // namespace geraniumlift::fleet
