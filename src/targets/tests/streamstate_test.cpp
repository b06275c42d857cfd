#include "targets/internal/jsonfields.h"
#include "targets/internal/streamstate.h"
#include "targets/internal/urltext.h"
#include "targets/verdictrules.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::targets;

namespace {

auto event(std::uint64_t Offset, const std::string &Id, const std::string &Finish = "null")
    -> SseEvent {
  return {Offset, R"({"id":")" + Id + R"(","choices":[{"finish_reason":)" + Finish + "}]}"};
}

} // namespace

// Guards against a response with missing or repeated events or with those of another request.
Test(streamstate, deliversOnlyOwnEventsInOrder) {
  auto State = StreamState("mine");
  cr_assert(State.accept(event(0, "mine")) == EventDecision::Deliver);
  cr_assert(State.accept(event(0, "mine")) == EventDecision::Repeat);
  cr_assert(State.accept(event(1, "other")) == EventDecision::Foreign);
  cr_assert(State.accept(event(2, "mine")) == EventDecision::Gap);
  cr_assert(State.accept({1, "no json"}) == EventDecision::Foreign);
  cr_assert(State.accept({1, R"({"id":7})"}) == EventDecision::Foreign);
  cr_assert(State.accept({std::nullopt, R"({"id":"mine"})"}) == EventDecision::Foreign);
  cr_assert_eq(State.nextOffset(), 1U);
  cr_assert_eq(State.foreignEvents(), 4U);
}

// Guards against a truncated response that is presented as complete.
Test(streamstate, endsOnlyAfterTheFinishReason) {
  auto State = StreamState("mine");
  cr_assert(State.accept(event(0, "mine")) == EventDecision::Deliver);
  cr_assert(State.accept({std::nullopt, "[DONE]"}) == EventDecision::EarlyEnd);
  cr_assert(State.accept(event(1, "mine", R"("stop")")) == EventDecision::Deliver);
  cr_assert(State.isComplete());
  cr_assert(State.accept(event(2, "mine")) == EventDecision::Repeat);
  cr_assert(State.accept({std::nullopt, "[DONE]"}) == EventDecision::End);
}

// Guards against a usage report that leads to a negative or invalid number of billed tokens.
Test(jsonfields, ignoresInvalidUsageAndLoadFields) {
  const auto Invalid =
      parseEventFields(R"({"id":"a","usage":{"prompt_tokens":-5,"completion_tokens":1e300}})");
  cr_assert(Invalid.ok() && Invalid->m_Usage->m_PromptTokens == 0 &&
            Invalid->m_Usage->m_CompletionTokens == 0);
  cr_assert_not(parseEventFields("[]").ok());
  cr_assert_not(parseEventFields(std::string(100000, '[')).ok());
  cr_assert_not(parseEngineLoad(R"({"running":1})").ok());
  const auto Load = parseEngineLoad(R"({"running":1,"waiting":2,"age_ms":30,"leaving":true})");
  cr_assert(Load.ok() && Load->m_WaitingRequests == 2 && Load->m_Leaving);
}

// Guards against DidNotRun where the request may have been sent.
Test(verdictrules, didNotRunOnlyWhereProvable) {
  constexpr auto Refused = std::string_view{"Failed to connect to any resolved endpoint"};
  cr_assert(verdictOfFailure({true, Refused}) == base::Verdict::DidNotRun);
  cr_assert(verdictOfFailure({false, Refused}) == base::Verdict::MayHaveRun);
  cr_assert(verdictOfFailure({true, "Failed to write request headers"}) ==
            base::Verdict::MayHaveRun);
  cr_assert(verdictOfFailure({true, "an unknown text"}) == base::Verdict::MayHaveRun);
  cr_assert(verdictOfResponse(503, true, true) == base::Verdict::DidNotRun);
  cr_assert(verdictOfResponse(503, false, true) == base::Verdict::Ran);
  cr_assert(verdictOfResponse(500, true, true) == base::Verdict::Ran);
  cr_assert(verdictOfResponse(503, true, false) == base::Verdict::MayHaveRun);
  cr_assert(verdictOfResponse(503, false, false) == base::Verdict::Ran);
}

// Guards against a request ID whose characters change the path of a resumption request.
Test(urltext, encodesReservedCharacters) {
  cr_assert_eq(encodeSegment("a/b?c#%\xC3"), std::string("a%2Fb%3Fc%23%25%C3"));
}
