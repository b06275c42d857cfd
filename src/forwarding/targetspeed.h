#pragma once

#include "base/iclock.h"
#include "forwarding/routetypes.h"

#include <array>
#include <optional>

namespace geraniumlift::forwarding {

/// What a target had to do when a request was sent to it.
struct WorkAhead {
  /// Prompt tokens to be read before the first event, those of the request included.
  Tokens m_PromptTokens = 0;

  /// Requests that the target held.
  std::int64_t m_ActiveRequests = 0;
};

/// How the time to the first event follows from the work ahead.
struct SpeedFigures {
  double m_BaseMs = 0.0;
  double m_MsPerPromptToken = 1.0 / 40.0;
  double m_MsPerActiveRequest = 1.5;

  /// Mean time to the first event, whatever the work was; 0 if it is not known.
  double m_MeanFirstEventMs = 0.0;

  /// Time from the first event to the end of a response.
  double m_ResponseMs = 0.0;

  /// Time from one event of a stream to the next.
  double m_MsPerEvent = 0.0;

  /// Mean distance of the answers from the forecast; 0 if it is not known.
  double m_DeviationMs = 0.0;

  /// What is assumed of targets of which nothing is known: those that read prompts, and others.
  [[nodiscard]] static auto assumed(bool HasPrompt) -> SpeedFigures;

  /// Time to the first event, with a wait for a slot if the target runs Slots requests at a time; 0
  /// if that is not known.
  [[nodiscard]] auto firstEventMs(const WorkAhead &Work, std::int64_t Slots) const -> double;
};

/// Learns the speed of one target, or the mean of a pool, from the times to the first event.
/// Answers a load in which the targets of a pool differ in speed, and single ones turn slow: a
/// forecast from one constant sends most requests to targets that are slow and look empty.
///
/// The figures are a least-squares fit that forgets, drawn towards the figures of the pool. A
/// single outlier moves them little: its distance from the forecast is clipped to a few mean
/// deviations. Several answers in a row on the same side are a change of speed, and most of what
/// was known before is dropped.
class TargetSpeed {
public:
  /// The prior weighs as much as this many answers.
  explicit TargetSpeed(double PriorWeight = 2.0) : m_PriorWeight(PriorWeight) {}

  /// Age at which a figure counts half, and the figure of the pool the other half.
  static constexpr auto HalfAge = std::chrono::milliseconds(20000);

  /// Learns from a response. Prior is what the fit is drawn towards.
  auto recordFirstEvent(const WorkAhead &Work, std::int64_t Slots, double Ms,
                        const SpeedFigures &Prior, base::SteadyTime Now) -> void;

  /// Learns from the end of a successful response: the time since its first event.
  auto recordEnd(double Ms, std::int64_t Events) -> void;

  /// Records that the target turned a request away while it held this many.
  auto recordTurnedAway(std::int64_t ActiveRequests, base::SteadyTime Now) -> void;

  /// Returns what is known, mixed with the figures of the pool by age.
  [[nodiscard]] auto figures(const SpeedFigures &Prior, base::SteadyTime Now) const -> SpeedFigures;

  /// Number of answers that the figures rest on.
  [[nodiscard]] auto samples() const -> double { return m_Weight; }

  /// Time since the last answer; the longest time if there was none.
  [[nodiscard]] auto age(base::SteadyTime Now) const -> std::chrono::milliseconds;

  /// Requests beyond which the target lately turned others away; nothing if it did not.
  [[nodiscard]] auto fullAt(base::SteadyTime Now) const -> std::optional<std::int64_t>;

private:
  static constexpr auto Size = std::size_t{3};

  /// Solves the fit anew.
  auto solve(const SpeedFigures &Prior) -> void;
  auto scale(double Factor) -> void;

  double m_PriorWeight;
  SpeedFigures m_Figures;

  /// Weighted sums of the fit: products of the inputs with each other and with the time.
  std::array<std::array<double, Size>, Size> m_Products{};
  std::array<double, Size> m_Times{};
  double m_Weight = 0.0;

  /// Answers in a row that were later (positive) or earlier (negative) than noise explains.
  int m_Run = 0;
  base::SteadyTime m_LearnedAt;
  std::int64_t m_FullAt = 0;
  base::SteadyTime m_FullUntil;
};

} // namespace geraniumlift::forwarding
