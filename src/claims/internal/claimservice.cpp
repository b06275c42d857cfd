#include "claims/claimservice.h"

#include "claims/internal/claimcompletion.h"
#include "claims/internal/claimcreation.h"
#include "claims/internal/claimremoval.h"
#include "claims/internal/operationrunner.h"

#include <fmt/format.h>
#include <map>

namespace geraniumlift::claims {

/// State of the service, used on the scheduler thread only.
struct ClaimService::State : std::enable_shared_from_this<State> {
  State(ClaimOptions Options, keyvalue::IKeyValueStore &Store, base::IScheduler &Scheduler,
        const base::IClock &Clock)
      : m_Options(std::move(Options)), m_Store(Store), m_Scheduler(Scheduler), m_Clock(Clock),
        m_Leases(std::make_shared<internal::LeaseCache>(m_Options.m_LeaseTimeToLive,
                                                        m_Options.m_LeaseSharingInterval, Store,
                                                        Scheduler, Clock)) {}

  auto newRecord(std::string RequestHash) -> ClaimRecord {
    const auto &Owner = m_Options.m_Owner;
    return {.m_Owner = Owner,
            .m_Attempt = fmt::format("{}/{}/{}", Owner.m_Vm, Owner.m_Incarnation, ++m_LastAttempt),
            .m_RequestHash = std::move(RequestHash),
            .m_Response = {}};
  }

  /// Returns the claim record that belongs to a ticket of this router.
  auto recordOf(const ClaimTicket &Ticket) -> ClaimRecord {
    return {.m_Owner = m_Options.m_Owner,
            .m_Attempt = m_AttemptByKey[Ticket.m_Key],
            .m_RequestHash = Ticket.m_RequestHash,
            .m_Response = {}};
  }

  auto run(const std::string &Key, std::unique_ptr<internal::ClaimOperation> Operation,
           internal::OperationRunner::Callback Done) -> void {
    const auto LeaseDeadline = m_Clock.steadyNow() + m_Options.m_LeaseTimeout;
    std::make_shared<internal::OperationRunner>(Key, std::move(Operation), LeaseDeadline, m_Leases,
                                                m_Store, m_Scheduler, m_Clock, std::move(Done))
        ->start();
  }

  auto claim(const ClaimRequest &Request, ClaimCallback Done) -> void;
  auto complete(const ClaimTicket &Ticket, StoredResponse Answer, base::SteadyTime Deadline,
                std::function<void(bool)> Done) -> void;
  auto abandon(const ClaimTicket &Ticket, std::function<void()> Done) -> void;

  ClaimOptions m_Options;
  keyvalue::IKeyValueStore &m_Store;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  std::shared_ptr<internal::LeaseCache> m_Leases;
  internal::AttemptHistory m_Attempts;

  /// The attempt of each claim that this router holds for a request in flight.
  std::map<std::string, std::string> m_AttemptByKey;
  std::uint64_t m_LastAttempt = 0;
};

auto ClaimService::State::claim(const ClaimRequest &Request, ClaimCallback Done) -> void {
  const auto Key = claimKey(Request.m_Workspace, Request.m_IdempotencyKey);
  auto Record = newRecord(Request.m_RequestHash);
  const auto Attempt = Record.m_Attempt;
  m_Attempts.setState(Attempt, internal::AttemptState::InFlight);
  auto Operation = std::make_unique<internal::ClaimCreation>(Key, std::move(Record),
                                                             Request.m_Deadline, m_Attempts);
  run(Key, std::move(Operation),
      [Self = shared_from_this(), Key, Attempt, Done = std::move(Done)](auto Finished) {
        if (std::holds_alternative<ClaimTicket>(Finished.m_Result)) {
          Self->m_AttemptByKey[Key] = Attempt;
        } else {
          Self->m_Attempts.setState(Attempt, internal::AttemptState::NotSent);
        }
        Done(std::move(Finished.m_Result));
      });
}

auto ClaimService::State::complete(const ClaimTicket &Ticket, StoredResponse Answer,
                                   base::SteadyTime Deadline, std::function<void(bool)> Done)
    -> void {
  if (Answer.m_Body.size() > MaxStoredBodyBytes) {
    Answer.m_Body.clear();
    Answer.m_BodyOmitted = true;
  }
  auto Record = recordOf(Ticket);
  Record.m_State = ClaimState::Done;
  Record.m_Response = std::move(Answer);
  m_Attempts.setState(Record.m_Attempt, internal::AttemptState::MayHaveRun);
  m_AttemptByKey.erase(Ticket.m_Key);
  run(Ticket.m_Key,
      std::make_unique<internal::ClaimCompletion>(std::move(Record), Ticket.m_ModRevision,
                                                  Deadline),
      [Done = std::move(Done)](const internal::FinishOperation &Finished) {
        Done(Finished.m_IsStored);
      });
}

auto ClaimService::State::abandon(const ClaimTicket &Ticket, std::function<void()> Done) -> void {
  auto Record = recordOf(Ticket);
  m_Attempts.setState(Record.m_Attempt, internal::AttemptState::NotSent);
  m_AttemptByKey.erase(Ticket.m_Key);
  const auto Deadline = m_Clock.steadyNow() + m_Options.m_RemovalTimeout;
  run(Ticket.m_Key,
      std::make_unique<internal::ClaimRemoval>(std::move(Record), Ticket.m_ModRevision, Deadline),
      [Done = std::move(Done)](const internal::FinishOperation & /*Finished*/) { Done(); });
}

ClaimService::ClaimService(ClaimOptions Options, keyvalue::IKeyValueStore &Store,
                           base::IScheduler &Scheduler, const base::IClock &Clock)
    : m_Scheduler(Scheduler),
      m_State(std::make_shared<State>(std::move(Options), Store, Scheduler, Clock)) {}

ClaimService::~ClaimService() = default;

auto ClaimService::claim(ClaimRequest Request, ClaimCallback Done) -> void {
  m_Scheduler.post([Self = m_State, Request = std::move(Request), Done = std::move(Done)] {
    Self->claim(Request, Done);
  });
}

auto ClaimService::complete(ClaimTicket Ticket, StoredResponse Answer, base::SteadyTime Deadline,
                            std::function<void(bool)> Done) -> void {
  m_Scheduler.post([Self = m_State, Ticket = std::move(Ticket), Answer = std::move(Answer),
                    Deadline,
                    Done = std::move(Done)] { Self->complete(Ticket, Answer, Deadline, Done); });
}

auto ClaimService::abandon(ClaimTicket Ticket, std::function<void()> Done) -> void {
  m_Scheduler.post([Self = m_State, Ticket = std::move(Ticket), Done = std::move(Done)] {
    Self->abandon(Ticket, Done);
  });
}

} // namespace geraniumlift::claims
