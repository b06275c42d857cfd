#pragma once

#include "budget/grantbook.h"
#include "budget/tokenexchange.h"
#include "fakes/manualtimers.h"
#include "fakes/memoryeventlog.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace geraniumlift::budget::tests {

/// What a test can do to the world, drawn from a seeded generator.
struct GrantFaults {
  /// Chances, from 0 to 1, of what happens to a write.
  double m_LostAnswer = 0.0;
  double m_LateWrite = 0.0;
  double m_Refused = 0.0;

  /// Chances for each step of 10 ms: a router is killed and starts again, or is cut off for a
  /// while.
  double m_Kill = 0.0;
  double m_Cut = 0.0;

  /// Whether the prepaid amount changes now and then, also downwards.
  bool m_ChangesPrepaid = false;

  /// Chance that a message between routers is lost.
  double m_LostMessage = 0.0;

  /// Whether a router whose grant is used up asks another one for tokens.
  bool m_PassesTokens = false;
};

/// Several routers that draw on one budget through a store that loses answers and applies writes
/// late. Requests are served for as long as a grant covers them.
class GrantWorld {
public:
  static constexpr auto Budget = "b";

  GrantWorld(std::size_t Routers, Tokens Prepaid, GrantFaults Faults, std::uint64_t Seed)
      : m_Prepaid(Prepaid), m_HighestPrepaid(Prepaid), m_Faults(Faults), m_Random(Seed) {
    for (std::size_t At = 0; At < Routers; ++At) {
      m_Routers.push_back(std::make_unique<Router>());
      m_Routers.back()->m_Name = std::to_string(At);
      startRouter(*m_Routers.back());
    }
  }

  /// Lets 10 ms pass.
  auto step(double RequestsPerStep) -> void {
    m_Timers.runFor(std::chrono::milliseconds(10));
    m_Now = m_Clock.steadyNow();
    applyLateWrites();
    if (m_Faults.m_ChangesPrepaid && chance(0.002)) {
      changePrepaid();
    }
    for (auto &Item : m_Routers) {
      disturb(*Item);
      if (Item->m_Book == nullptr) {
        continue;
      }
      if (chance(RequestsPerStep)) {
        request(*Item);
      }
      endRequests(*Item);
      Item->m_Book->expire(m_Now);
      pump(*Item);
    }
  }

  /// Tokens used so far by all processes, dead ones included.
  [[nodiscard]] auto used() const -> Tokens { return m_Used; }
  [[nodiscard]] auto highestPrepaid() const -> Tokens { return m_HighestPrepaid; }
  [[nodiscard]] auto granted() const -> int { return m_Granted; }
  [[nodiscard]] auto refused() const -> int { return m_Refused; }
  [[nodiscard]] auto writes() const -> int { return m_Writes; }
  [[nodiscard]] auto pool() const -> const GrantPool & { return m_Pool.m_Value; }

  auto cutAll(bool IsCut) -> void {
    for (auto &Item : m_Routers) {
      Item->m_CutUntil = IsCut ? base::SteadyTime::max() : m_Now;
    }
  }

  auto killAll() -> void {
    for (auto &Item : m_Routers) {
      kill(*Item);
    }
  }

  auto drainAll() -> void {
    for (auto &Item : m_Routers) {
      Item->m_Book->drain(m_Now);
    }
  }

private:
  struct Request {
    Tokens m_WorstCase;
    Tokens m_Used;
    base::SteadyTime m_Ends;
  };

  /// Delivers messages to the routers that live, a few milliseconds later, some of them twice.
  struct Link final : ITransferLink {
    GrantWorld *m_World = nullptr;
    std::string m_Self;

    [[nodiscard]] auto offersOf(const std::string &) const -> std::vector<RouterOffer> override {
      return {};
    }
    auto send(const std::string &To, const TransferMessage &Message) -> void override {
      m_World->deliver(To, Message);
    }
  };

  struct Router {
    std::string m_Name;
    Link m_Link;
    std::unique_ptr<TokenExchange> m_Exchange;
    std::unique_ptr<GrantBook> m_Book;
    std::uint64_t m_Life = 0;
    std::vector<Request> m_Running;
    base::SteadyTime m_CutUntil;
    base::SteadyTime m_StartsAt;
    bool m_IsReachable = true;
  };

  struct LateWrite {
    std::string m_Router;
    GrantWrite m_Write;
    base::SteadyTime m_At;
  };

  auto chance(double Probability) -> bool {
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_Random) < Probability;
  }

  auto startRouter(Router &Item) -> void {
    auto Options = GrantOptions();
    // The time of day may have gone back since the former process started.
    Options.m_Incarnation = 1000 + m_Random() % 100;
    ++Item.m_Life;
    Item.m_Book = std::make_unique<GrantBook>(Options);
    const auto Count = static_cast<std::int64_t>(m_Routers.size());
    Item.m_Book->setRouters(Count, Count);
    Item.m_Book->setPrepaid({{Budget, m_Prepaid}}, m_Now);
    Item.m_IsReachable = true;
    Item.m_Link.m_World = this;
    const auto Session = m_Random();
    Item.m_Exchange = std::make_unique<TokenExchange>(Item.m_Name, Session, Item.m_Link, m_Timers,
                                                      m_Clock, m_Log);
    Item.m_Exchange->setGrants(
        [this, &Item](const std::string &Name, Tokens Amount, base::SteadyTime Deadline,
                      const std::function<void(Tokens)> &Done) {
          // Half of the routers give only what they hold, the others also draw, as keepers do.
          if (Item.m_Name.back() % 2 == 0) {
            Done(Item.m_Book->withdraw(Name, Amount) ? Amount : 0);
            return;
          }
          const auto Life = Item.m_Life;
          Item.m_Book->reserve(Name, Amount, Deadline, m_Now,
                               [this, &Item, Life, Amount, Done](ReservationOutcome Answer) {
                                 if (Item.m_Life != Life) {
                                   return;
                                 }
                                 const auto IsGranted = Answer == ReservationOutcome::Granted;
                                 if (IsGranted) {
                                   Item.m_Book->settle(Budget, Amount, Amount, m_Now);
                                 }
                                 Done(IsGranted ? Amount : 0);
                               });
        },
        [&Item](const std::string &Into, Tokens Amount) { Item.m_Book->receive(Into, Amount); });
  }

  auto deliver(const std::string &To, const TransferMessage &Message) -> void {
    const auto Copies = chance(m_Faults.m_LostMessage) ? 0 : chance(m_Faults.m_LostMessage) ? 2 : 1;
    for (auto Copy = 0; Copy < Copies; ++Copy) {
      const auto Delay = std::chrono::milliseconds(3 + (chance(0.05) ? m_Random() % 7000 : 0));
      m_Timers.start(m_Clock.steadyNow() + Delay, [this, To, Message] {
        for (auto &Item : m_Routers) {
          if (Item->m_Name == To && Item->m_Exchange != nullptr) {
            Item->m_Exchange->onMessage(Message);
          }
        }
      });
    }
  }

  /// Asks the routers that hold most. The callback says whether the request was granted.
  auto askOthers(Router &Item, Tokens WorstCase, std::function<void(bool)> Done) -> void {
    const auto Missing = WorstCase - Item.m_Book->spendable(Budget);
    auto Offers = std::vector<std::pair<Tokens, std::string>>();
    for (const auto &Other : m_Routers) {
      if (Other->m_Book != nullptr && Other.get() != &Item &&
          Other->m_Book->spendable(Budget) >= Missing) {
        Offers.emplace_back(-Other->m_Book->spendable(Budget), Other->m_Name);
      }
    }
    std::sort(Offers.begin(), Offers.end());
    auto Candidates = std::vector<TokenExchange::Candidate>();
    for (const auto &Offer : Offers) {
      Candidates.push_back({Offer.second, Budget});
    }
    Item.m_Exchange->ask(std::move(Candidates), Budget, Missing,
                         m_Now + std::chrono::milliseconds(400),
                         [this, &Item, WorstCase, Done = std::move(Done)](Tokens Received) {
                           Item.m_Book->receive(Budget, Received);
                           Done(Item.m_Book->reserveNow(Budget, WorstCase, m_Now));
                         });
  }

  auto kill(Router &Item) -> void {
    // What was delivered until now has been used; nobody learns of it.
    for (const auto &Running : Item.m_Running) {
      m_Used += Running.m_Used;
    }
    Item.m_Running.clear();
    Item.m_Book.reset();
    Item.m_Exchange.reset();
    Item.m_StartsAt = m_Now + std::chrono::milliseconds(300);
  }

  auto disturb(Router &Item) -> void {
    if (Item.m_Book == nullptr) {
      if (m_Now >= Item.m_StartsAt) {
        startRouter(Item);
      }
      return;
    }
    if (chance(m_Faults.m_Kill)) {
      kill(Item);
      return;
    }
    if (chance(m_Faults.m_Cut)) {
      Item.m_CutUntil = m_Now + std::chrono::seconds(4);
    }
  }

  auto changePrepaid() -> void {
    const auto Change = std::uniform_int_distribution<Tokens>(-200000, 200000)(m_Random);
    m_Prepaid = std::max<Tokens>(0, m_Prepaid + Change);
    m_HighestPrepaid = std::max(m_HighestPrepaid, m_Prepaid);
    for (auto &Item : m_Routers) {
      if (Item->m_Book != nullptr) {
        Item->m_Book->setPrepaid({{Budget, m_Prepaid}}, m_Now);
      }
    }
  }

  auto request(Router &Item) -> void {
    const auto WorstCase = std::uniform_int_distribution<Tokens>(500, 12000)(m_Random);
    const auto Used = std::uniform_int_distribution<Tokens>(WorstCase / 2, WorstCase)(m_Random);
    const auto Length = std::chrono::milliseconds(50 + m_Random() % 1500);
    const auto Life = Item.m_Life;
    const auto Finish = [this, &Item, WorstCase, Used, Length, Life](bool IsGranted) {
      ++(IsGranted ? m_Granted : m_Refused);
      if (IsGranted && Item.m_Life == Life) {
        Item.m_Running.push_back({WorstCase, Used, m_Now + Length});
      }
    };
    Item.m_Book->reserve(Budget, WorstCase, m_Now + std::chrono::milliseconds(400), m_Now,
                         [this, &Item, WorstCase, Finish](ReservationOutcome Answer) {
                           if (Answer != ReservationOutcome::Granted && m_Faults.m_PassesTokens) {
                             askOthers(Item, WorstCase, Finish);
                             return;
                           }
                           Finish(Answer == ReservationOutcome::Granted);
                         });
  }

  auto endRequests(Router &Item) -> void {
    auto Ended = std::vector<Request>();
    std::erase_if(Item.m_Running, [this, &Ended](const Request &Running) {
      const auto Ends = Running.m_Ends <= m_Now;
      if (Ends) {
        Ended.push_back(Running);
      }
      return Ends;
    });
    for (const auto &Running : Ended) {
      m_Used += Running.m_Used;
      Item.m_Book->settle(Budget, Running.m_WorstCase, Running.m_Used, m_Now);
    }
  }

  auto pump(Router &Item) -> void {
    const auto IsCut = m_Now < Item.m_CutUntil;
    if (IsCut == Item.m_IsReachable) {
      Item.m_IsReachable = !IsCut;
      Item.m_Book->setStoreReachable(!IsCut);
    }
    switch (Item.m_Book->nextCall(m_Now)) {
    case GrantCall::None:
      return;
    case GrantCall::Read:
      Item.m_Book->onCallIssued();
      if (IsCut) {
        Item.m_Book->onReadFailed(m_Now);
      } else {
        Item.m_Book->onRead(m_Holders[Item.m_Name], {{Budget, m_Pool}}, m_Now);
      }
      return;
    case GrantCall::Write:
      write(Item, IsCut);
      return;
    }
  }

  auto write(Router &Item, bool IsCut) -> void {
    const auto Write = Item.m_Book->composeWrite(m_Now);
    ++m_Writes;
    if (chance(m_Faults.m_Refused)) {
      Item.m_Book->onNotDone(m_Now);
      return;
    }
    if (IsCut || chance(m_Faults.m_LateWrite)) {
      if (!IsCut || chance(0.5)) {
        const auto Delay = std::chrono::milliseconds(m_Random() % 6000);
        m_Late.push_back({Item.m_Name, Write, m_Now + Delay});
      }
      Item.m_Book->onUnknown(m_Now);
      return;
    }
    const auto Landed = apply(Item.m_Name, Write);
    if (chance(m_Faults.m_LostAnswer)) {
      Item.m_Book->onUnknown(m_Now);
    } else if (Landed) {
      Item.m_Book->onLanded(m_Revision, m_Now);
    } else {
      Item.m_Book->onConflict(m_Holders[Item.m_Name], {{Budget, m_Pool}}, m_Now);
    }
  }

  auto apply(const std::string &Router, const GrantWrite &Write) -> bool {
    if (m_Holders[Router].m_Revision != Write.m_Holder.m_Revision) {
      return false;
    }
    for (const auto &[Name, Pool] : Write.m_Pools) {
      if (Pool.m_Revision != m_Pool.m_Revision) {
        return false;
      }
    }
    ++m_Revision;
    m_Holders[Router] = {Write.m_Holder.m_Value, m_Revision};
    for (const auto &[Name, Pool] : Write.m_Pools) {
      m_Pool = {Pool.m_Value, m_Revision};
    }
    return true;
  }

  auto applyLateWrites() -> void {
    std::erase_if(m_Late, [this](const LateWrite &Late) {
      if (Late.m_At > m_Now) {
        return false;
      }
      apply(Late.m_Router, Late.m_Write);
      return true;
    });
  }

  Tokens m_Prepaid;
  Tokens m_HighestPrepaid;
  GrantFaults m_Faults;
  std::mt19937_64 m_Random;
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryEventLog m_Log;
  base::SteadyTime m_Now = m_Clock.steadyNow();
  std::vector<std::unique_ptr<Router>> m_Routers;
  std::map<std::string, Versioned<HolderRecord>> m_Holders;
  Versioned<GrantPool> m_Pool;
  std::int64_t m_Revision = 0;
  std::vector<LateWrite> m_Late;
  Tokens m_Used = 0;
  int m_Granted = 0;
  int m_Refused = 0;
  int m_Writes = 0;
};

} // namespace geraniumlift::budget::tests
