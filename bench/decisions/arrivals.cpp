#include "decisions/arrivals.h"

#include "base/random.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

namespace geraniumlift::bench {

namespace {

auto uniform(base::RandomEngine &Random) -> double {
  return boost::random::uniform_01<double>()(Random);
}

auto swingAt(const Workload &Load, double Seconds) -> const SwingSpec * {
  for (const auto &Swing : Load.m_Swings) {
    if (Seconds >= Swing.m_StartSeconds && Seconds < Swing.m_EndSeconds) {
      return &Swing;
    }
  }
  return nullptr;
}

auto largestFactor(const Workload &Load) -> double {
  auto Largest = 1.0;
  for (const auto &Swing : Load.m_Swings) {
    Largest = std::max(Largest, Swing.m_Factor);
  }
  return Largest;
}

auto drawAnswer(const FlowSpec &Flow, base::RandomEngine &Random) -> base::Tokens {
  if (Flow.m_MaxTokens == 0) {
    return 0;
  }
  auto Lengths = boost::random::lognormal_distribution<double>(std::log(Flow.m_AnswerMedian),
                                                               Flow.m_AnswerSigma);
  auto Length = Lengths(Random);
  if (uniform(Random) < Flow.m_StragglerShare) {
    Length *= Flow.m_StragglerFactor;
  }
  const auto Limit = static_cast<double>(Flow.m_MaxTokens);
  return static_cast<base::Tokens>(std::clamp(std::round(Length), 1.0, Limit));
}

auto drawRequest(const Workload &Load, std::size_t FlowIndex, double Seconds,
                 base::RandomEngine &Random) -> PlannedRequest {
  const auto &Flow = Load.m_Flows[FlowIndex];
  auto Request = PlannedRequest();
  Request.m_SendSeconds = Seconds;
  Request.m_DeadlineSeconds = Seconds + Flow.m_DeadlineSeconds;
  Request.m_Flow = FlowIndex;
  while (Load.m_Pools[Request.m_Pool].m_Name != Flow.m_Pool) {
    ++Request.m_Pool;
  }
  Request.m_Caller =
      boost::random::uniform_int_distribution<std::int64_t>(0, Flow.m_Callers - 1)(Random);
  const auto Prompt = Flow.m_PrefixTokens + Flow.m_PromptTokens * (0.5 + uniform(Random));
  Request.m_PromptTokens = static_cast<base::Tokens>(std::round(Prompt));
  Request.m_AnswerTokens = drawAnswer(Flow, Random);
  if (Flow.m_Prefixes > 0) {
    const auto Prefix =
        boost::random::uniform_int_distribution<std::int64_t>(1, Flow.m_Prefixes)(Random);
    // Prefixes of different flows must differ; no flow has a million of them.
    Request.m_PrefixHash = FlowIndex * 1'000'000 + static_cast<std::uint64_t>(Prefix);
  }
  Request.m_AtPeak = swingAt(Load, Seconds) != nullptr;
  return Request;
}

/// Draws one flow's arrivals: a Poisson process at the highest rate, thinned to the rate of the
/// moment.
auto planFlow(const Workload &Load, std::size_t FlowIndex, base::RandomEngine &Random,
              std::vector<PlannedRequest> &Plan) -> void {
  const auto &Flow = Load.m_Flows[FlowIndex];
  const auto Highest = Flow.m_Swings ? largestFactor(Load) : 1.0;
  auto Gaps = boost::random::exponential_distribution<double>(Flow.m_RatePerSecond * Highest);
  for (auto Seconds = Gaps(Random); Seconds < Load.m_DurationSeconds; Seconds += Gaps(Random)) {
    const auto *Swing = Flow.m_Swings ? swingAt(Load, Seconds) : nullptr;
    const auto Factor = Swing == nullptr ? 1.0 : Swing->m_Factor;
    if (uniform(Random) < Factor / Highest) {
      Plan.push_back(drawRequest(Load, FlowIndex, Seconds, Random));
    }
  }
}

} // namespace

auto slotSeconds(const Workload &Load, const PlannedRequest &Request, bool PrefixCached) -> double {
  const auto &Pool = Load.m_Pools[Request.m_Pool];
  const auto &Flow = Load.m_Flows[Request.m_Flow];
  const auto Answer = static_cast<double>(Request.m_AnswerTokens) * Pool.m_SecondsPerToken;
  if (Pool.m_PromptTokensPerSecond <= 0.0) {
    return Pool.m_SecondsPerCall + Answer;
  }
  const auto Saved = PrefixCached ? Flow.m_PrefixTokens : 0.0;
  const auto Prompt = std::max(0.0, static_cast<double>(Request.m_PromptTokens) - Saved);
  return Pool.m_SecondsPerCall + Prompt / Pool.m_PromptTokensPerSecond + Answer;
}

auto planRequests(const Workload &Load, std::uint64_t Seed) -> std::vector<PlannedRequest> {
  auto Random = base::RandomEngine(Seed);
  auto Plan = std::vector<PlannedRequest>();
  for (auto Flow = std::size_t{0}; Flow < Load.m_Flows.size(); ++Flow) {
    planFlow(Load, Flow, Random, Plan);
  }
  std::stable_sort(Plan.begin(), Plan.end(), [](const auto &Left, const auto &Right) {
    return Left.m_SendSeconds < Right.m_SendSeconds;
  });
  return Plan;
}

} // namespace geraniumlift::bench
