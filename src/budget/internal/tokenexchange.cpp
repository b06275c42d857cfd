#include "budget/tokenexchange.h"

#include <algorithm>
#include <utility>

namespace geraniumlift::budget {

namespace {

using namespace std::chrono_literals;

/// Most routers that are asked for one request. In a cut from the store only some owners of a
/// budget's shards still hold tokens, and nothing tells which; an answer takes a few milliseconds.
constexpr auto MaxCandidates = std::size_t{8};

/// Time after which a request is sent a second time. An answer takes 3 ms, or about 20 ms if the
/// other router writes to the store first.
constexpr auto ResendDelay = 25ms;

/// Time from the first send after which the next router is asked.
constexpr auto AnswerTimeout = 80ms;

/// Time for which sent requests and answers are kept; far longer than a datagram takes to arrive.
constexpr auto MessageRetention = 5000ms;

/// Time between removals of requests and answers that need not be kept any more.
constexpr auto CleanupInterval = 1000ms;

} // namespace

TokenExchange::TokenExchange(std::string Router, std::uint64_t Session, ITransferLink &Link,
                             base::ITimers &Timers, const base::IClock &Clock, base::IEventLog &Log)
    : m_Router(std::move(Router)), m_Session(Session), m_Link(Link), m_Timers(Timers),
      m_Clock(Clock), m_Log(Log) {}

TokenExchange::~TokenExchange() {
  for (const auto &Item : m_SentRequests) {
    m_Timers.cancel(Item.second.m_Timer);
  }
}

auto TokenExchange::setGrantCallbacks(Withdraw Withdraw, AddLateTokens AddLateTokens,
                                      OnUsedUp OnUsedUp) -> void {
  m_Withdraw = std::move(Withdraw);
  m_AddLateTokens = std::move(AddLateTokens);
  m_OnUsedUp = std::move(OnUsedUp);
}

auto TokenExchange::requestTokens(std::vector<Candidate> Candidates,
                                  const std::string &CreditedBudget, Tokens Amount,
                                  base::SteadyTime Deadline, std::function<void(Tokens)> Done)
    -> void {
  removeExpired();
  auto Item = std::make_shared<PendingTransfer>();
  Candidates.resize(std::min(Candidates.size(), MaxCandidates));
  Item->m_Candidates = std::move(Candidates);
  Item->m_CreditedBudget = CreditedBudget;
  Item->m_Amount = Amount;
  Item->m_Deadline = Deadline;
  Item->m_Done = std::move(Done);
  requestFromNextCandidate(Item);
}

auto TokenExchange::requestAhead(const std::string &Owner, const TransferRequest &Details,
                                 const std::string &CreditedBudget, base::SteadyTime Deadline,
                                 OnAllowed OnAllowed, std::function<void(Tokens)> Done) -> void {
  removeExpired();
  auto Item = std::make_shared<PendingTransfer>();
  Item->m_Candidates = {{Owner, Details.m_Budget}};
  Item->m_CreditedBudget = CreditedBudget;
  Item->m_Amount = Details.m_Tokens;
  Item->m_Deadline = Deadline;
  Item->m_Done = std::move(Done);
  Item->m_Ahead = Details;
  Item->m_OnAllowed = std::move(OnAllowed);
  requestFromNextCandidate(Item);
}

auto TokenExchange::sendReturn(const std::string &Owner, const std::string &Shard, Tokens Amount)
    -> void {
  const auto Number = ++m_LastNumber;
  m_Log.record(base::LogLevel::Debug, "budget_transfer_returned",
               {{"to", Owner}, {"number", Number}, {"budget", Shard}, {"tokens", Amount}});
  m_Link.send(Owner, TransferReturn{m_Router, m_Session, Number, Shard, Amount});
}

auto TokenExchange::onReturn(const TransferReturn &Message) -> void {
  const auto Key = std::pair(Message.m_Session, Message.m_Number);
  const auto Expires = m_Clock.steadyNow() + MessageRetention;
  if (m_TakeBack && m_SentAnswers.try_emplace(Key, SentAnswer{Withdrawal(), Expires}).second) {
    m_TakeBack(Message.m_Budget, Message.m_Tokens);
  }
}

auto TokenExchange::requestFromNextCandidate(const std::shared_ptr<PendingTransfer> &Item) -> void {
  if (Item->m_CandidateIndex == Item->m_Candidates.size() ||
      m_Clock.steadyNow() >= Item->m_Deadline) {
    std::exchange(Item->m_Done, nullptr)(0);
    return;
  }
  const auto Number = ++m_LastNumber;
  m_SentRequests[Number] = {Item, Item->m_CreditedBudget, 0,
                            m_Clock.steadyNow() + MessageRetention};
  sendRequest(Number, false);
}

auto TokenExchange::sendRequest(std::uint64_t Number, bool IsResend) -> void {
  auto &Entry = m_SentRequests.at(Number);
  const auto &To = Entry.m_Transfer->m_Candidates[Entry.m_Transfer->m_CandidateIndex];
  auto Request =
      TransferRequest{m_Router, m_Session, Number, To.m_Budget, Entry.m_Transfer->m_Amount};
  if (const auto &Ahead = Entry.m_Transfer->m_Ahead) {
    Request.m_IsAhead = true;
    Request.m_IsHome = Ahead->m_IsHome;
    Request.m_Held = Ahead->m_Held;
    Request.m_TokensPerSecond = Ahead->m_TokensPerSecond;
    Request.m_RequestTokens = Ahead->m_RequestTokens;
  }
  m_Link.send(To.m_Router, Request);
  const auto Pause = IsResend ? AnswerTimeout - ResendDelay : ResendDelay;
  Entry.m_Timer = m_Timers.start(m_Clock.steadyNow() + Pause, [this, Number, IsResend] {
    if (!IsResend) {
      sendRequest(Number, true);
      return;
    }
    auto &Late = m_SentRequests.at(Number);
    Late.m_Timer = 0;
    const auto Item = std::exchange(Late.m_Transfer, nullptr);
    m_Log.record(base::LogLevel::Info, "budget_transfer_unanswered",
                 {{"number", Number},
                  {"router", Item->m_Candidates[Item->m_CandidateIndex].m_Router},
                  {"budget", Item->m_Candidates[Item->m_CandidateIndex].m_Budget},
                  {"tokens", Item->m_Amount}});
    ++Item->m_CandidateIndex;
    requestFromNextCandidate(Item);
  });
}

auto TokenExchange::onMessage(const TransferMessage &Message) -> void {
  removeExpired();
  if (const auto *Request = std::get_if<TransferRequest>(&Message)) {
    onRequest(*Request);
  } else if (const auto *Answer = std::get_if<TransferAnswer>(&Message)) {
    onAnswer(*Answer);
  } else {
    onReturn(std::get<TransferReturn>(Message));
  }
}

auto TokenExchange::onRequest(const TransferRequest &Message) -> void {
  const auto Key = std::pair(Message.m_Session, Message.m_Number);
  const auto Now = m_Clock.steadyNow();
  if (const auto Previous = m_SentAnswers.find(Key); Previous != m_SentAnswers.end()) {
    if (Previous->second.m_Outcome) {
      sendAnswer(Message, *Previous->second.m_Outcome);
    }
    return;
  }
  m_SentAnswers[Key] = {std::nullopt, Now + MessageRetention};
  const auto Answer = [this, Message, Key](const Withdrawal &Outcome) {
    m_SentAnswers[Key] = {Outcome, m_Clock.steadyNow() + MessageRetention};
    m_Log.record(base::LogLevel::Debug, "budget_transfer_given",
                 {{"to", Message.m_From},
                  {"number", Message.m_Number},
                  {"budget", Message.m_Budget},
                  {"ahead", Message.m_IsAhead},
                  {"asked", Message.m_Tokens},
                  {"given", Outcome.m_Tokens},
                  {"used_up", Outcome.m_IsUsedUp}});
    sendAnswer(Message, Outcome);
  };
  if (!Message.m_IsAhead) {
    m_Withdraw(Message.m_Budget, Message.m_Tokens, Now + AnswerTimeout, Answer);
  } else if (m_WithdrawAhead) {
    m_WithdrawAhead(Message, Now + AnswerTimeout, Answer);
  } else {
    Answer({});
  }
}

auto TokenExchange::sendAnswer(const TransferRequest &Request, const Withdrawal &Outcome) -> void {
  m_Link.send(Request.m_From,
              TransferAnswer{m_Router, Request.m_Session, Request.m_Number, Outcome.m_Tokens,
                             Outcome.m_IsUsedUp, Outcome.m_Unsettled, Outcome.m_Allowed});
}

auto TokenExchange::onAnswer(const TransferAnswer &Message) -> void {
  const auto Found = m_SentRequests.find(Message.m_Number);
  if (Message.m_Session != m_Session || Found == m_SentRequests.end()) {
    return;
  }
  const auto Entry = std::move(Found->second);
  m_SentRequests.erase(Found);
  m_Timers.cancel(Entry.m_Timer);
  const auto &Item = Entry.m_Transfer;
  m_Log.record(base::LogLevel::Debug, "budget_transfer_received",
               {{"from", Message.m_From},
                {"number", Message.m_Number},
                {"into", Entry.m_CreditedBudget},
                {"tokens", Message.m_Tokens},
                {"late", Item == nullptr}});
  if (!Item) {
    if (Message.m_Tokens > 0) {
      m_AddLateTokens(Entry.m_CreditedBudget, Message.m_Tokens);
    }
    return;
  }
  if (Message.m_Allowed && Item->m_OnAllowed) {
    Item->m_OnAllowed(*Message.m_Allowed);
  }
  if (Message.m_Tokens > 0) {
    std::exchange(Item->m_Done, nullptr)(Message.m_Tokens);
    return;
  }
  if (Message.m_IsUsedUp) {
    m_OnUsedUp(Item->m_Candidates[Item->m_CandidateIndex].m_Budget, Item->m_Amount,
               Message.m_Unsettled);
  }
  ++Item->m_CandidateIndex;
  requestFromNextCandidate(Item);
}

auto TokenExchange::removeExpired() -> void {
  const auto Now = m_Clock.steadyNow();
  if (Now < m_NextCleanup) {
    return;
  }
  m_NextCleanup = Now + CleanupInterval;
  std::erase_if(m_SentRequests, [Now](const auto &Item) {
    return !Item.second.m_Transfer && Item.second.m_Expires <= Now;
  });
  std::erase_if(m_SentAnswers, [Now](const auto &Item) {
    return Item.second.m_Outcome && Item.second.m_Expires <= Now;
  });
}

} // namespace geraniumlift::budget
