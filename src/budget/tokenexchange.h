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

/// Transfers granted tokens between routers without a write to the store, so that a router whose
/// grant is used up can serve requests from that of another one, also while the store cannot be
/// reached. The sender of tokens counts them as used before it answers, and the receiver accepts
/// each answer once, so that no token is spent twice; tokens of a lost answer are never spent.
class TokenExchange {
public:
  /// Outcome of a withdrawal; see TransferAnswer.
  struct Withdrawal {
    Tokens m_Tokens = 0;
    bool m_IsUsedUp = false;
    Tokens m_Unsettled = 0;
    std::optional<Tokens> m_Allowed = std::nullopt;
  };

  /// Takes tokens out of this router's grant: all or none.
  using Withdraw =
      std::function<void(const std::string &Budget, Tokens Amount, base::SteadyTime Deadline,
                         std::function<void(Withdrawal)> Done)>;

  /// Takes tokens out of the reserve of a shard for a router that wants to hold them ahead: as many
  /// as it is allowed to hold.
  using WithdrawAhead =
      std::function<void(const TransferRequest &Request, base::SteadyTime Deadline,
                         std::function<void(Withdrawal)> Done)>;

  /// Learns that another router has found too few tokens left of a budget for an amount, and how
  /// many of them the store does not count as used.
  using OnUsedUp = std::function<void(const std::string &Budget, Tokens Amount, Tokens Unsettled)>;

  /// Receives tokens of an answer that came after the request had timed out.
  using AddLateTokens = std::function<void(const std::string &CreditedBudget, Tokens Amount)>;

  /// Receives tokens that another router returns.
  using TakeBack = std::function<void(const std::string &Budget, Tokens Amount)>;

  /// Learns how many tokens this router may hold ahead.
  using OnAllowed = std::function<void(Tokens Allowed)>;

  /// The session must differ from that of every earlier process on this VM. The references must
  /// outlive this object.
  TokenExchange(std::string Router, std::uint64_t Session, ITransferLink &Link,
                base::ITimers &Timers, const base::IClock &Clock, base::IEventLog &Log);
  ~TokenExchange();
  TokenExchange(const TokenExchange &) = delete;
  auto operator=(const TokenExchange &) -> TokenExchange & = delete;

  /// Sets the callbacks to this router's grants; must be called before any message arrives.
  auto setGrantCallbacks(
      Withdraw Withdraw, AddLateTokens AddLateTokens,
      OnUsedUp OnUsedUp = [](const std::string &, Tokens, Tokens) {}) -> void;

  /// Sets the callback for requests to hold tokens ahead; they are refused without it.
  auto setWithdrawAhead(WithdrawAhead Callback) -> void { m_WithdrawAhead = std::move(Callback); }

  /// Sets the callback for returned tokens; they are lost without it.
  auto setTakeBack(TakeBack Callback) -> void { m_TakeBack = std::move(Callback); }

  /// A router to ask, and the budget or shard from which it takes the tokens.
  struct Candidate {
    std::string m_Router;
    std::string m_Budget;
  };

  /// Asks one candidate after the other, up to a limit and until the deadline. The callback runs
  /// once, with the whole amount or 0, and at once if there is no candidate. Tokens that arrive too
  /// late are added to CreditedBudget.
  auto requestTokens(std::vector<Candidate> Candidates, const std::string &CreditedBudget,
                     Tokens Amount, base::SteadyTime Deadline, std::function<void(Tokens)> Done)
      -> void;

  /// Asks the owner of a shard for tokens to hold ahead, of which Done gets a part, or 0. The
  /// sender and the numbers of the details are not used.
  auto requestAhead(const std::string &Owner, const TransferRequest &Details,
                    const std::string &CreditedBudget, base::SteadyTime Deadline,
                    OnAllowed OnAllowed, std::function<void(Tokens)> Done) -> void;

  /// Gives tokens back to the owner of a shard. They are lost if the message is.
  auto sendReturn(const std::string &Owner, const std::string &Shard, Tokens Amount) -> void;

  /// Handles a request or an answer from another router.
  auto onMessage(const TransferMessage &Message) -> void;

private:
  /// A request for tokens that goes from one candidate to the next.
  struct PendingTransfer {
    std::vector<Candidate> m_Candidates;
    std::size_t m_CandidateIndex = 0;
    std::string m_CreditedBudget;
    Tokens m_Amount = 0;
    base::SteadyTime m_Deadline;
    std::function<void(Tokens)> m_Done;

    /// Demand of a request to hold tokens ahead.
    std::optional<TransferRequest> m_Ahead;
    OnAllowed m_OnAllowed;
  };

  /// A message to one candidate. It is kept after the next candidate was asked, for a late answer.
  struct SentRequest {
    /// Null once the request has timed out.
    std::shared_ptr<PendingTransfer> m_Transfer;
    std::string m_CreditedBudget;
    base::TimerId m_Timer = 0;
    base::SteadyTime m_Expires;
  };

  /// The answer to a request of another router.
  struct SentAnswer {
    /// Nothing until the withdrawal has ended.
    std::optional<Withdrawal> m_Outcome;
    base::SteadyTime m_Expires;
  };

  auto requestFromNextCandidate(const std::shared_ptr<PendingTransfer> &Item) -> void;
  auto sendRequest(std::uint64_t Number, bool IsResend) -> void;
  auto onRequest(const TransferRequest &Message) -> void;
  auto onAnswer(const TransferAnswer &Message) -> void;
  auto onReturn(const TransferReturn &Message) -> void;
  auto sendAnswer(const TransferRequest &Request, const Withdrawal &Outcome) -> void;
  auto removeExpired() -> void;

  std::string m_Router;
  std::uint64_t m_Session;
  ITransferLink &m_Link;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  Withdraw m_Withdraw;
  WithdrawAhead m_WithdrawAhead;
  AddLateTokens m_AddLateTokens;
  TakeBack m_TakeBack;
  OnUsedUp m_OnUsedUp;
  std::uint64_t m_LastNumber = 0;
  std::map<std::uint64_t, SentRequest> m_SentRequests;

  /// Answers by session and number of the request, so that a repeated request gets the same one.
  std::map<std::pair<std::uint64_t, std::uint64_t>, SentAnswer> m_SentAnswers;
  base::SteadyTime m_NextCleanup;
};

} // namespace geraniumlift::budget
