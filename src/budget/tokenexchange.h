#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "budget/itransferlink.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace geraniumlift::budget {

/// Passes granted tokens between routers without a write to the store, so that a router whose own
/// grant is used up serves from what another one holds, also while the store is away. A giver
/// counts the tokens as used before it answers, and an asker takes each answer once, so that no
/// token is spent twice; tokens of a lost answer are spent by nobody.
class TokenExchange {
public:
  /// Takes tokens out of the own grant and says how many: all or 0.
  using Withdraw = std::function<void(const std::string &Budget, Tokens Amount,
                                      base::SteadyTime Deadline, std::function<void(Tokens)> Done)>;

  /// Told of tokens for a request that has meanwhile been answered otherwise.
  using AddLateTokens = std::function<void(const std::string &CreditedBudget, Tokens Amount)>;

  /// The session is unlike that of any earlier process on this VM.
  TokenExchange(std::string Router, std::uint64_t Session, ITransferLink &Link,
                base::ITimers &Timers, const base::IClock &Clock, base::IEventLog &Log);
  ~TokenExchange();
  TokenExchange(const TokenExchange &) = delete;
  auto operator=(const TokenExchange &) -> TokenExchange & = delete;

  auto setGrantCallbacks(Withdraw Withdraw, AddLateTokens AddLateTokens) -> void;

  /// A router to ask, and the budget that it is to take the tokens from.
  struct Candidate {
    std::string m_Router;
    std::string m_Budget;
  };

  /// Asks one candidate after the other. The callback runs once, with all tokens or 0, at once if
  /// there is nobody to ask. Late tokens go into the named budget.
  auto requestTokens(std::vector<Candidate> Candidates, const std::string &CreditedBudget,
                     Tokens Amount, base::SteadyTime Deadline, std::function<void(Tokens)> Done)
      -> void;

  auto onMessage(const TransferMessage &Message) -> void;

private:
  /// An inquiry that goes from one candidate to the next.
  struct PendingTransfer {
    std::vector<Candidate> m_Candidates;
    std::size_t m_CandidateIndex = 0;
    std::string m_CreditedBudget;
    Tokens m_Amount = 0;
    base::SteadyTime m_Deadline;
    std::function<void(Tokens)> m_Done;
  };

  /// A request that was sent. It is kept after its inquiry went on, for a late answer.
  struct SentRequest {
    std::shared_ptr<PendingTransfer> m_Transfer;
    std::string m_CreditedBudget;
    base::TimerId m_Timer = 0;
    base::SteadyTime m_Expires;
  };

  struct SentAnswer {
    /// Nothing until the tokens have been withdrawn.
    std::optional<Tokens> m_Tokens;
    base::SteadyTime m_Expires;
  };

  auto requestFromNextCandidate(const std::shared_ptr<PendingTransfer> &Item) -> void;
  auto sendRequest(std::uint64_t Number, bool IsResend) -> void;
  auto onRequest(const TransferRequest &Message) -> void;
  auto onAnswer(const TransferAnswer &Message) -> void;
  auto removeExpired() -> void;

  std::string m_Router;
  std::uint64_t m_Session;
  ITransferLink &m_Link;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  Withdraw m_Withdraw;
  AddLateTokens m_AddLateTokens;
  std::uint64_t m_LastNumber = 0;
  std::map<std::uint64_t, SentRequest> m_SentRequests;

  /// Answers by session and number of the request, so that a repeated request gets the same one.
  std::map<std::pair<std::uint64_t, std::uint64_t>, SentAnswer> m_SentAnswers;
  base::SteadyTime m_NextCleanup;
};

} // namespace geraniumlift::budget
