#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace geraniumlift::budget {

using base::Tokens;

/// Settings of a ReservePlanner.
struct ReserveOptions {
  /// Time of a router's own demand that it wants to hold: as long as all routers are cut off from
  /// the store and from each other on the users' standard days.
  std::chrono::milliseconds m_Span{9000};

  /// Time constant of the moving average of demand.
  std::chrono::milliseconds m_RateWindow{5000};

  /// Time after which a router that has not asked again no longer takes part in the division.
  std::chrono::milliseconds m_ReportLifetime{10000};

  /// Time of demand that a router gets whatever the division says: its requests arrive anyway, and
  /// a message for each of them would delay them.
  std::chrono::milliseconds m_Floor{1000};
};

/// A router's demand for tokens of a budget.
struct ReserveDemand {
  double m_TokensPerSecond = 0.0;

  /// Mean worst case of a request; 0 without demand.
  Tokens m_RequestTokens = 0;
};

/// Decides how many tokens of a budget in shards a router holds ahead of its demand, and how the
/// owner of a shard divides its reserve among the routers that ask. Answers the load of a cut in
/// which every router is alone: callers are spread unevenly, some workspaces use one or two
/// routers, and one request needs more tokens than an even share has. Does no input or output.
class ReservePlanner {
public:
  explicit ReservePlanner(ReserveOptions Options = ReserveOptions()) : m_Options(Options) {}

  /// Counts a request of this router's own callers.
  auto recordRequest(const std::string &Budget, Tokens WorstCase, base::SteadyTime Now) -> void;

  [[nodiscard]] auto demandOf(const std::string &Budget, base::SteadyTime Now) const
      -> ReserveDemand;

  /// Tokens that this router wants to hold: the demand in the span, in whole requests. A margin for
  /// chance at every router would add up to more than the span, and a kill of all routers strands
  /// it.
  [[nodiscard]] auto wantedTokens(const std::string &Budget, base::SteadyTime Now) const -> Tokens;

  /// Records the demand that a router reports to the owner of a shard, the tokens that it holds and
  /// those that it wants besides.
  auto recordReport(const std::string &Shard, const std::string &Router, double TokensPerSecond,
                    Tokens Held, Tokens Missing, base::SteadyTime Now) -> void;

  /// Names of the shards of whose reserve other routers have asked for a part.
  [[nodiscard]] auto sharedShards(base::SteadyTime Now) const -> std::vector<std::string>;

  /// Tokens of the shard that the routers hold ahead, as far as they have reported it.
  [[nodiscard]] auto heldAhead(const std::string &Shard, base::SteadyTime Now) const -> Tokens;

  /// Tokens that the routers still want of a reserve of Reserve tokens, and may hold.
  [[nodiscard]] auto backlog(const std::string &Shard, Tokens Reserve, base::SteadyTime Now) const
      -> Tokens;

  /// Tokens that the router may hold of the shard's reserve of Reserve tokens: its share by demand,
  /// in whole requests of RequestTokens. Where shares are smaller than a request, some of the
  /// routers hold one; which ones stays the same.
  [[nodiscard]] auto allowance(const std::string &Shard, const std::string &Router, Tokens Reserve,
                               Tokens RequestTokens, base::SteadyTime Now) const -> Tokens;

private:
  struct Meter {
    double m_TokensPerMs = 0.0;
    double m_MeanRequestTokens = 0.0;
    base::SteadyTime m_Updated;
  };

  struct Report {
    double m_TokensPerSecond = 0.0;
    Tokens m_Held = 0;
    Tokens m_Missing = 0;
    base::SteadyTime m_Time;
  };

  [[nodiscard]] auto tokensPerMs(const Meter &Item, base::SteadyTime Now) const -> double;

  ReserveOptions m_Options;
  std::map<std::string, Meter> m_OwnDemand;

  /// Reports by shard and router.
  std::map<std::string, std::map<std::string, Report>> m_Reports;
};

} // namespace geraniumlift::budget
