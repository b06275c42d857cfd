#include "base/hashing.h"
#include "objects/objectcheck.h"
#include "objects/objectcodec.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <set>

using namespace geraniumlift;
using namespace geraniumlift::objects;

namespace {

/// A set of the size expected in two years: 15,000 workspaces, 25,000 budgets, 37 models, 790
/// targets.
auto largeSet() -> ObjectSet {
  auto Set = ObjectSet();
  Set.m_PriorityClasses["paid"] = {.m_Name = "paid", .m_Level = 1, .m_GuaranteedShare = 0.1};
  for (int Index = 0; Index < 25'000; ++Index) {
    const auto Name = fmt::format("budget-{}", Index);
    Set.m_Budgets[Name] = {.m_Name = Name, .m_MaxGrantTokens = 1'000'000 + Index};
  }
  for (int Index = 0; Index < 15'000; ++Index) {
    const auto Name = fmt::format("workspace-{}", Index);
    Set.m_Workspaces[Name] = {.m_Name = Name,
                              .m_Budget = fmt::format("budget-{}", Index),
                              .m_PriorityClass = "paid",
                              .m_Weight = 0.1 * (Index + 1),
                              .m_KeyHashes = {base::sha256Hex(Name), base::sha256Hex(Name + "b")}};
  }
  for (int Index = 0; Index < 37; ++Index) {
    const auto Name = fmt::format("pool-{}", Index);
    Set.m_ModelPools[Name] = {.m_Name = Name, .m_Models = {fmt::format("model-{}", Index)}};
  }
  for (int Index = 0; Index < 790; ++Index) {
    const auto Name = fmt::format("target-{}", Index);
    Set.m_Targets[Name] = {.m_Name = Name,
                           .m_Pool = fmt::format("pool-{}", Index % 37),
                           .m_Url = fmt::format("http://10.0.{}.{}:80", Index / 250, Index % 250),
                           .m_DataCentre = "rajkot-a",
                           .m_Vm = fmt::format("vm-{}", Index)};
  }
  return Set;
}

auto textsOf(const std::vector<Chunk> &Chunks) -> std::vector<std::string> {
  auto Texts = std::vector<std::string>();
  for (const auto &Part : Chunks) {
    Texts.push_back(Part.m_Text);
  }
  return Texts;
}

auto hashesOf(const std::vector<Chunk> &Chunks) -> std::set<std::string> {
  auto Hashes = std::set<std::string>();
  for (const auto &Part : Chunks) {
    Hashes.insert(Part.m_Hash);
  }
  return Hashes;
}

} // namespace

// Guards against data lost by the codec at the expected size, chunks that are too large for the
// key-value service, and a small change that rewrites many chunks.
Test(codec, changeOfOneWorkspaceChangesOneChunk) {
  auto Set = largeSet();
  cr_assert(checkObjects(Set).empty());
  const auto Before = encodeChunks(Set);
  cr_assert(Before.ok());
  cr_assert_lt(Before->size(), 100U);
  for (const auto &Part : *Before) {
    cr_assert_leq(Part.m_Text.size(), MaxChunkBytes);
    cr_assert_eq(Part.m_Hash, base::sha256Hex(Part.m_Text));
  }
  const auto Decoded = decodeChunks(textsOf(*Before));
  cr_assert(Decoded.ok());
  cr_assert(*Decoded == Set);

  Set.m_Workspaces["workspace-7"].m_Weight = 3.5;
  const auto After = encodeChunks(Set);
  const auto Old = hashesOf(*Before);
  cr_assert_eq(std::count_if(After->begin(), After->end(),
                             [&](const Chunk &Part) { return !Old.contains(Part.m_Hash); }),
               1);
}

// Guards against writing an object that is larger than a chunk may be, instead of an error.
Test(codec, refusesObjectBeyondChunk) {
  auto Set = ObjectSet();
  Set.m_Workspaces["w"].m_KeyHashes.assign(5'000, base::sha256Hex("k"));
  cr_assert(absl::IsInvalidArgument(encodeChunks(Set).status()));
}

// Guards against accepting or crashing on wrong types, repeated objects, deep nesting and too long
// texts, which must all return InvalidArgument.
Test(codec, refusesMalformedChunks) {
  auto Set = ObjectSet();
  for (const auto *Text :
       {"", "[]", "{}", "{\"kind\":\"budget\"}", "{\"kind\":1,\"objects\":{}}",
        "{\"kind\":\"widget\",\"objects\":{}}", "{\"kind\":\"budget\",\"objects\":{\"a\":3}}",
        "{\"kind\":\"budget\",\"objects\":{\"a\":{},\"a\":{}}}",
        "{\"kind\":\"workspace\",\"objects\":{\"a\":{\"weight\":\"x\"}}}",
        "{\"kind\":\"workspace\",\"objects\":{\"a\":{\"key_hashes\":[1]}}}",
        "{\"kind\":\"budget\",\"objects\":{\"a\":{\"max_grant_tokens\":1e99}}}"}) {
    cr_assert(absl::IsInvalidArgument(decodeChunk(Text, Set)), "%s", Text);
  }
  cr_assert(absl::IsInvalidArgument(decodeChunk(std::string(200'000, '['), Set)));
  cr_assert(absl::IsInvalidArgument(decodeChunk(std::string(MaxChunkBytes + 1, ' '), Set)));
}

// Guards against undefined behaviour of the JSON library for 0e91, found by fuzzing, and against
// numbers that lose precision.
Test(codec, readsNumbersExactly) {
  const auto ShareOf = [](const std::string &Number) {
    auto Set = ObjectSet();
    const auto Status = decodeChunk("{\"kind\":\"priority_class\",\"objects\":{\"a\":"
                                    "{\"guaranteed_share\":" +
                                        Number + "}}}",
                                    Set);
    return Status.ok() ? Set.m_PriorityClasses["a"].m_GuaranteedShare : -1.0;
  };
  cr_assert_eq(ShareOf("0e91"), 0.0);
  cr_assert_eq(ShareOf("1"), 1.0);
  cr_assert_eq(ShareOf("0.30000000000000004"), 0.1 + 0.2);
  cr_assert_eq(ShareOf("1e400"), -1.0);
}

// Guards against a crash on a chunk in which arbitrary bytes were changed.
Test(codec, survivesChangedBytes) {
  const auto Text = std::string("{\"kind\":\"model_pool\",\"objects\":{\"p\":{\"kind\":\"service\","
                                "\"models\":[],\"idempotent\":false,\"tokens_per_call\":3}}}");
  cr_assert(rc::check([&] {
    auto Changed = Text;
    const auto Positions = *rc::gen::container<std::vector<std::size_t>>(
        3, rc::gen::inRange<std::size_t>(0, Text.size()));
    for (const auto Position : Positions) {
      Changed[Position] = *rc::gen::arbitrary<char>();
    }
    auto Set = ObjectSet();
    (void)decodeChunk(Changed, Set);
    (void)checkObjects(Set);
  }));
}
