#include "objects/objectdiff.h"
#include "objects/objectparser.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace geraniumlift::objects;

namespace {

const auto ValidSet = std::string(R"(
[budget.care]
max_grant_tokens = 5000
[priority_class.paid]
level = 0
guaranteed_share = 0.7
[workspace.clinic]
budget = "care"
priority_class = "paid"
weight = 2
key_hashes = ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
[model_pool.chat]
kind = "engine"
models = ["plan-7b"]
[model_pool.bookings]
kind = "service"
idempotent = false
tokens_per_call = 20
[target.e1]
pool = "chat"
url = "http://127.0.0.1:9001"
data_centre = "swansea-a"
)");

auto errorsOf(const std::string &Text) -> std::vector<ObjectError> {
  return parseObjects({{"a.toml", ValidSet}, {"b.toml", Text}}).m_Errors;
}

auto containsError(const std::vector<ObjectError> &Errors, std::string_view Field,
                   std::int64_t Line, std::string_view Message) -> bool {
  return std::any_of(Errors.begin(), Errors.end(), [&](const ObjectError &Error) {
    return Error.m_Field == Field && Error.m_Line == Line &&
           Error.m_Message.find(Message) != std::string::npos;
  });
}

} // namespace

// Guards against fields that are lost or misread in a valid set.
Test(parser, readsAllKindsFromSeveralFiles) {
  const auto Result = parseObjects({{"a.toml", ValidSet}, {"b.toml", "[budget.stock]\n"}});
  cr_assert(Result.m_Errors.empty());
  cr_assert_eq(Result.m_Objects.m_Budgets.size(), 2U);
  cr_assert_eq(Result.m_Objects.m_Workspaces.at("clinic").m_Weight, 2.0);
  cr_assert_eq(Result.m_Objects.m_ModelPools.at("bookings").m_TokensPerCall, 20);
  cr_assert_not(Result.m_Objects.m_ModelPools.at("bookings").m_Idempotent);
  cr_assert_eq(Result.m_Objects.m_Targets.at("e1").m_Url, std::string("http://127.0.0.1:9001"));
}

// Guards against a parser that stops at the first mistake or reports the wrong line or path.
Test(parser, reportsEveryMistakeWithLineAndPath) {
  const auto Errors =
      errorsOf("[budget.care]\n"
               "[workspace.office]\n"
               "budget = \"nowhere\"\n"
               "weight = \"heavy\"\n"
               "wieght = 3\n"
               "key_hashes = [\n"
               "\"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\",\n"
               "\"short\"]\n"
               "[target.Bad]\n"
               "pool = \"chat\"\n"
               "url = \"http://engine.example:80\"\n"
               "data_centre = \"x\"\n"
               "slots = 0\n"
               "[widget.x]\n");
  cr_assert(containsError(Errors, "budget.care", 1, "already defined in a.toml:2"));
  cr_assert(containsError(Errors, "workspace.office.budget", 3, "unknown budget nowhere"));
  cr_assert(containsError(Errors, "workspace.office.priority_class", 2, "is missing"));
  cr_assert(containsError(Errors, "workspace.office.weight", 4, "must be a number"));
  cr_assert(containsError(Errors, "workspace.office.wieght", 5, "not a known key"));
  cr_assert(containsError(Errors, "workspace.office.key_hashes[0]", 7, "workspace clinic"));
  cr_assert(containsError(Errors, "workspace.office.key_hashes[1]", 8, "SHA-256"));
  cr_assert(containsError(Errors, "target.Bad", 9, "name must have"));
  cr_assert(containsError(Errors, "target.Bad.url", 11, "IP number"));
  cr_assert(containsError(Errors, "target.Bad.slots", 13, "from 1 to 10000"));
  cr_assert(containsError(Errors, "widget", 14, "not a known kind"));
  cr_assert_eq(Errors.size(), 11U);
}

// Guards against fallback cycles, and fallbacks to a pool of another kind or with another value of
// idempotent, where a call could run more than once.
Test(parser, checksFallbackPools) {
  const auto Errors = errorsOf("[model_pool.a]\nkind = \"service\"\nfallback_pool = \"b\"\n"
                               "[model_pool.b]\nkind = \"service\"\nfallback_pool = \"a\"\n"
                               "[model_pool.c]\nkind = \"service\"\nfallback_pool = \"bookings\"\n"
                               "[model_pool.d]\nkind = \"service\"\nfallback_pool = \"chat\"\n"
                               "[model_pool.e]\nkind = \"service\"\nfallback_pool = \"a\"\n");
  cr_assert(containsError(Errors, "model_pool.a.fallback_pool", 3, "cycle"));
  cr_assert(containsError(Errors, "model_pool.b.fallback_pool", 6, "cycle"));
  cr_assert(containsError(Errors, "model_pool.c.fallback_pool", 9, "idempotent"));
  cr_assert(containsError(Errors, "model_pool.d.fallback_pool", 12, "another kind"));
  cr_assert_eq(Errors.size(), 4U);
}

// Guards against guaranteed shares that add up to more than 1, and against a share that is NaN.
Test(parser, checksGuaranteedShares) {
  cr_assert(containsError(errorsOf("[priority_class.z]\nlevel = 1\nguaranteed_share = 0.4\n"),
                          "priority_class.z.guaranteed_share", 3, "add up to"));
  cr_assert(containsError(errorsOf("[priority_class.z]\nlevel = 1\nguaranteed_share = nan\n"),
                          "priority_class.z.guaranteed_share", 3, "from 0 to 1"));
}

// Guards against a syntax error that hides mistakes in other files, or that makes references to the
// objects of its file be reported as unknown.
Test(parser, syntaxErrorIsReportedAlongsideOtherFiles) {
  const auto Errors =
      parseObjects(
          {{"a.toml", "[workspace.w]\nbudget = \"b\"\npriority_class = \"p\"\nweight = 0\n"},
           {"b.toml", "\n[budget.b\n"}})
          .m_Errors;
  cr_assert_eq(Errors.size(), 2U);
  cr_assert(containsError(Errors, "workspace.w.weight", 4, "from 0.001"));
  cr_assert_eq(Errors[1].m_File, std::string("b.toml"));
  cr_assert_eq(Errors[1].m_Line, 2);
}

// Guards against a diff that omits a kind of change.
Test(diff, listsAddedChangedRemoved) {
  const auto Before = parseObjects({{"a.toml", ValidSet}}).m_Objects;
  auto After = Before;
  After.m_Budgets.erase("care");
  After.m_Budgets["stock"].m_Name = "stock";
  After.m_Targets["e1"].m_Leaving = true;
  const auto Expected = std::vector<ObjectChange>{
      {ChangeKind::Added, ObjectKind::Budget, "stock", {}},
      {ChangeKind::Removed, ObjectKind::Budget, "care", {}},
      {ChangeKind::Changed, ObjectKind::Target, "e1", {"leaving"}},
  };
  cr_assert(diffObjects(Before, After) == Expected);
  cr_assert(diffObjects(Before, Before).empty());
}
