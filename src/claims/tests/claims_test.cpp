#include "claims/claimrecord.h"
#include "claims/claimservice.h"
#include "fakes/memorykeyvaluestore.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::claims;
using namespace std::chrono_literals;
using fakes::WriteFault;

namespace {

/// Two routers over one fake key-value service.
struct Fixture {
  base::ManualClock m_Clock;
  fakes::ManualScheduler m_Scheduler{m_Clock};
  fakes::MemoryKeyValueData m_Data;
  fakes::MemoryKeyValueStore m_Store{m_Data, m_Scheduler};
  ClaimService m_First{{.m_Owner = {"vm-a", 1}}, m_Store, m_Scheduler, m_Clock};
  ClaimService m_Second{{.m_Owner = {"vm-b", 1}}, m_Store, m_Scheduler, m_Clock};

  auto claim(ClaimService &Router, const std::string &Hash = "hash") -> ClaimResult {
    auto Results = std::vector<ClaimResult>();
    Router.claim({"w", "key", Hash, m_Clock.steadyNow() + 3s},
                 [&](ClaimResult Result) { Results.push_back(std::move(Result)); });
    m_Scheduler.runFor(4s);
    cr_assert_eq(Results.size(), 1U);
    return Results.at(0);
  }

  auto ticket(ClaimService &Router) -> ClaimTicket { return std::get<ClaimTicket>(claim(Router)); }

  auto codeOf(ClaimService &Router, const std::string &Hash = "hash") -> base::RefusalCode {
    return std::get<base::Refusal>(claim(Router, Hash)).m_Code;
  }

  auto complete(ClaimService &Router, const ClaimTicket &Ticket, const StoredResponse &Answer)
      -> bool {
    auto Result = std::optional<bool>();
    Router.complete(Ticket, Answer, m_Clock.steadyNow() + 3s,
                    [&](bool IsStored) { Result = IsStored; });
    m_Scheduler.runFor(4s);
    return Result.value();
  }

  auto abandon(ClaimService &Router, const ClaimTicket &Ticket) -> void {
    auto IsDone = false;
    Router.abandon(Ticket, [&] { IsDone = true; });
    m_Scheduler.runFor(6s);
    cr_assert(IsDone);
  }
};

const auto Answer = StoredResponse{201, "text/plain; [x]", std::string("bo\0oked\xff", 8), false};

} // namespace

// Guards against a request that is refused, or sent twice, after the response to the create was
// lost.
Test(claims, lostResponseToTheCreateStillGivesOneTicket) {
  for (const auto Fault : {WriteFault::LostAnswer, WriteFault::LostWrite, WriteFault::LateWrite}) {
    auto Routers = Fixture();
    Routers.m_Store.failWrites({Fault});
    const auto Ticket = Routers.ticket(Routers.m_First);
    Routers.m_Scheduler.runFor(10s);
    cr_assert_eq(Routers.m_Data.m_Keys.at(Ticket.m_Key).m_ModRevision, Ticket.m_ModRevision);
    cr_assert(std::holds_alternative<ClaimedElsewhere>(Routers.claim(Routers.m_Second)));
    cr_assert(Routers.complete(Routers.m_First, Ticket, Answer));
  }
}

// Guards against two routers that both send the request.
Test(claims, oneOfTwoRacingRoutersGetsTheTicket) {
  auto Routers = Fixture();
  auto Results = std::vector<ClaimResult>();
  for (auto *Router : {&Routers.m_First, &Routers.m_Second}) {
    Router->claim({"w", "key", "hash", Routers.m_Clock.steadyNow() + 3s},
                  [&](ClaimResult Result) { Results.push_back(std::move(Result)); });
  }
  Routers.m_Scheduler.runFor(4s);
  cr_assert_eq(Results.size(), 2U);
  cr_assert_neq(std::holds_alternative<ClaimTicket>(Results[0]),
                std::holds_alternative<ClaimTicket>(Results[1]));
  // The result names the owner, so that the gateway can check whether that router still runs.
  const auto Elsewhere = std::get<ClaimedElsewhere>(Routers.claim(Routers.m_Second));
  cr_assert(Elsewhere.m_Owner == (base::HolderId{"vm-a", 1}));
}

// Guards against a request that is sent without a claim, and against one that never completes.
Test(claims, refusesWhileTheServiceIsDown) {
  auto Routers = Fixture();
  Routers.m_Store.cut(true);
  cr_assert_eq(Routers.codeOf(Routers.m_First), base::RefusalCode::ClaimUnavailable);
  Routers.m_Store.cut(false);
  Routers.m_Store.failWrites({WriteFault::LostWrite, WriteFault::LostWrite, WriteFault::LostWrite,
                              WriteFault::LostWrite, WriteFault::LostWrite, WriteFault::LostWrite,
                              WriteFault::LostWrite, WriteFault::LateWrite});
  cr_assert_eq(Routers.codeOf(Routers.m_First), base::RefusalCode::ClaimUnavailable);
}

// Guards against replaying the response of another request, and against a retry that runs again
// after the first attempt has completed.
Test(claims, retryAfterCompletionReplaysTheResponse) {
  auto Routers = Fixture();
  const auto Ticket = Routers.ticket(Routers.m_First);
  Routers.m_Store.failWrites({WriteFault::LostAnswer});
  cr_assert(Routers.complete(Routers.m_First, Ticket, Answer));
  for (auto *Router : {&Routers.m_First, &Routers.m_Second}) {
    cr_assert(std::get<StoredResponse>(Routers.claim(*Router)) == Answer);
    cr_assert_eq(Routers.codeOf(*Router, "other"), base::RefusalCode::IdempotencyKeyReused);
  }
}

// Guards against a retry that runs again although the first attempt's outcome was not stored.
Test(claims, outcomeStaysUnknownWhenCompletionWasNotStored) {
  auto Routers = Fixture();
  const auto Ticket = Routers.ticket(Routers.m_First);
  Routers.m_Store.cut(true);
  cr_assert_not(Routers.complete(Routers.m_First, Ticket, Answer));
  Routers.m_Store.cut(false);
  cr_assert_eq(Routers.codeOf(Routers.m_First), base::RefusalCode::OutcomeUnknown);
}

// Guards against a claim that blocks a request that never ran, also when a late create of the
// abandoned attempt brings the claim back.
Test(claims, abandonedClaimCanBeMadeAgain) {
  auto Routers = Fixture();
  Routers.m_Store.failWrites({WriteFault::LostAnswer});
  Routers.abandon(Routers.m_First, Routers.ticket(Routers.m_First));
  const auto Ticket = Routers.ticket(Routers.m_Second);
  Routers.abandon(Routers.m_Second, Ticket);
  cr_assert(Routers.m_Data.m_Keys.empty());

  const auto Late = ClaimRecord{ClaimState::Claimed, {"vm-a", 1}, "vm-a/1/1", "hash", {}};
  Routers.m_Data.m_Keys[Ticket.m_Key] = {Ticket.m_Key, encodeClaim(Late), 90, 90};
  cr_assert(std::holds_alternative<ClaimedElsewhere>(Routers.claim(Routers.m_Second)));
  cr_assert(std::holds_alternative<ClaimTicket>(Routers.claim(Routers.m_First)));
}

// Guards against a claim that is too large for the key-value service.
Test(claims, largeBodyIsOmitted) {
  auto Routers = Fixture();
  const auto Ticket = Routers.ticket(Routers.m_First);
  auto Large = Answer;
  Large.m_Body = std::string(MaxStoredBodyBytes + 1, 'x');
  cr_assert(Routers.complete(Routers.m_First, Ticket, Large));
  const auto Replayed = std::get<StoredResponse>(Routers.claim(Routers.m_Second));
  cr_assert(Replayed.m_BodyOmitted && Replayed.m_Body.empty() && Replayed.m_Status == 201);
}

// Guards against granting a separate lease for each claim.
Test(claims, claimsWithinAnHourShareALease) {
  auto Routers = Fixture();
  for (int Count = 0; Count < 5; ++Count) {
    Routers.abandon(Routers.m_First, Routers.ticket(Routers.m_First));
  }
  cr_assert_eq(Routers.m_Data.m_Leases.size(), 1U);
  Routers.m_Scheduler.runFor(1h);
  Routers.ticket(Routers.m_First);
  cr_assert_eq(Routers.m_Data.m_Leases.size(), 2U);
}

// Guards against a crash on a stored value that is not a claim.
Test(claims, decodingRefusesOtherText) {
  for (const auto *Text : {"", "{", "[]", "{\"state\":\"done\"}", "{\"state\":[[[["}) {
    cr_assert_not(decodeClaim(Text).ok());
  }
}
