#include "objects/objectcheck.h"

#include "objects/internal/checkphases.h"
#include "objects/internal/objectfields.h"

#include <fmt/format.h>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace geraniumlift::objects {

namespace internal {

namespace {

using Errors = std::vector<ObjectError>;

auto report(Errors &Found, std::string Path, std::string Message) -> void {
  Found.push_back(
      {.m_File = "", .m_Line = 0, .m_Field = std::move(Path), .m_Message = std::move(Message)});
}

/// Checks one value against its field descriptor. There is one overload per type of member.
template <typename Object>
auto checkValue(const FieldDescriptor<Object> &Descriptor, const std::string &Value,
                const std::string &Path, Errors &Found) -> void {
  if (Descriptor.m_Required && Value.empty()) {
    report(Found, Path, "must not be empty");
  } else if (const auto Problem = Descriptor.m_Rule(Value); !Problem.empty()) {
    report(Found, Path, std::string(Problem));
  }
}

/// Checks a number. The comparison is written so that it also fails for NaN.
template <typename Object, typename Number>
requires std::is_arithmetic_v<Number>
auto checkValue(const FieldDescriptor<Object> &Descriptor, Number Value, const std::string &Path,
                Errors &Found) -> void {
  const auto AsDouble = static_cast<double>(Value);
  if (!(AsDouble >= Descriptor.m_Min && AsDouble <= Descriptor.m_Max)) {
    report(Found, Path, fmt::format("must be from {} to {}", Descriptor.m_Min, Descriptor.m_Max));
  }
}

template <typename Object>
auto checkValue(const FieldDescriptor<Object> & /*Descriptor*/, bool /*Value*/,
                const std::string & /*Path*/, Errors & /*Found*/) -> void {}

template <typename Object>
auto checkValue(const FieldDescriptor<Object> & /*Descriptor*/, TargetKind /*Value*/,
                const std::string & /*Path*/, Errors & /*Found*/) -> void {}

template <typename Object, typename Value>
auto checkValue(const FieldDescriptor<Object> &Descriptor, const std::optional<Value> &Content,
                const std::string &Path, Errors &Found) -> void {
  if (Content) {
    checkValue(Descriptor, *Content, Path, Found);
  }
}

template <typename Object>
auto checkValue(const FieldDescriptor<Object> &Descriptor, const std::vector<std::string> &List,
                const std::string &Path, Errors &Found) -> void {
  if (static_cast<double>(List.size()) > Descriptor.m_Max) {
    report(Found, Path, fmt::format("must have at most {} elements", Descriptor.m_Max));
  }
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    if (const auto Problem = Descriptor.m_Rule(List[Index]); !Problem.empty()) {
      report(Found, fmt::format("{}[{}]", Path, Index), std::string(Problem));
    }
  }
}

template <typename Object>
auto checkObject(const std::string &Name, const Object &Content, Errors &Found) -> void {
  const auto Path = fmt::format("{}.{}", kindName<Object>(), Name);
  if (const auto Problem = checkName(Name); !Problem.empty()) {
    report(Found, Path, fmt::format("name {}", Problem));
  }
  if (Name != Content.m_Name) {
    report(Found, Path, "name differs from the name in the object");
  }
  for (const auto &Descriptor : KindTraits<Object>::Fields) {
    std::visit(
        [&](auto Member) {
          checkValue(Descriptor, Content.*Member, fmt::format("{}.{}", Path, Descriptor.m_Name),
                     Found);
        },
        Descriptor.m_Member);
  }
}

/// Reports a reference to an object that does not exist. Empty names are left to the check of
/// fields.
template <typename Referred>
auto checkReference(const std::map<std::string, Referred> &Known, const std::string &Name,
                    std::string Path, Errors &Found) -> void {
  if (!Name.empty() && !Known.contains(Name)) {
    report(Found, std::move(Path), fmt::format("unknown {} {}", kindName<Referred>(), Name));
  }
}

auto checkShares(const ObjectSet &Objects, Errors &Found) -> void {
  constexpr auto RoundingError = 1e-9;
  auto Sum = 0.0;
  for (const auto &[Name, Class] : Objects.m_PriorityClasses) {
    Sum += Class.m_GuaranteedShare;
  }
  if (Sum > 1.0 + RoundingError) {
    const auto &Last = Objects.m_PriorityClasses.rbegin()->first;
    report(Found, fmt::format("priority_class.{}.guaranteed_share", Last),
           fmt::format("the guaranteed shares of all classes add up to {}, more than 1", Sum));
  }
}

auto checkWorkspaces(const ObjectSet &Objects, Errors &Found) -> void {
  auto Owners = std::unordered_map<std::string_view, std::string_view>();
  for (const auto &[Name, Content] : Objects.m_Workspaces) {
    const auto Path = fmt::format("workspace.{}", Name);
    checkReference(Objects.m_Budgets, Content.m_Budget, Path + ".budget", Found);
    checkReference(Objects.m_PriorityClasses, Content.m_PriorityClass, Path + ".priority_class",
                   Found);
    for (std::size_t Index = 0; Index < Content.m_KeyHashes.size(); ++Index) {
      const auto [Iterator, IsNew] = Owners.try_emplace(Content.m_KeyHashes[Index], Name);
      if (!IsNew) {
        report(Found, fmt::format("{}.key_hashes[{}]", Path, Index),
               fmt::format("workspace {} already has this key", Iterator->second));
      }
    }
  }
}

auto checkModels(const ModelPool &Pool, const std::string &Path, Errors &Found) -> void {
  if (Pool.m_Kind == TargetKind::Engine && Pool.m_Models.empty()) {
    report(Found, Path + ".models", "must name at least one model of an engine pool");
  }
  if (Pool.m_Kind == TargetKind::Service && !Pool.m_Models.empty()) {
    report(Found, Path + ".models", "must be empty for a service pool");
  }
  auto Seen = std::unordered_set<std::string_view>();
  for (std::size_t Index = 0; Index < Pool.m_Models.size(); ++Index) {
    if (!Seen.insert(Pool.m_Models[Index]).second) {
      report(Found, fmt::format("{}.models[{}]", Path, Index), "is listed twice");
    }
  }
}

auto checkEngineFields(const ModelPool &Pool, const std::string &Path, Errors &Found) -> void {
  if (Pool.m_Kind != TargetKind::Engine) {
    return;
  }
  if (!Pool.m_Idempotent) {
    report(Found, Path + ".idempotent", "must be true for an engine pool");
  }
  if (Pool.m_TokensPerCall != 0) {
    report(Found, Path + ".tokens_per_call", "must be 0 for an engine pool");
  }
}

/// Whether following the fallbacks from the pool leads back to it.
auto isOnCycle(const ObjectSet &Objects, const std::string &Start) -> bool {
  auto Visited = std::set<std::string>();
  auto Next = Objects.m_ModelPools.find(Start);
  while (Next != Objects.m_ModelPools.end() && Next->second.m_FallbackPool) {
    const auto &Fallback = *Next->second.m_FallbackPool;
    if (Fallback == Start) {
      return true;
    }
    if (!Visited.insert(Fallback).second) {
      return false;
    }
    Next = Objects.m_ModelPools.find(Fallback);
  }
  return false;
}

auto checkFallback(const ObjectSet &Objects, const ModelPool &Pool, const std::string &Path,
                   Errors &Found) -> void {
  if (!Pool.m_FallbackPool) {
    return;
  }
  checkReference(Objects.m_ModelPools, *Pool.m_FallbackPool, Path, Found);
  const auto Other = Objects.m_ModelPools.find(*Pool.m_FallbackPool);
  if (Other == Objects.m_ModelPools.end()) {
    return;
  }
  if (Other->second.m_Kind != Pool.m_Kind) {
    report(Found, Path, fmt::format("pool {} is of another kind", Other->first));
  }
  // Otherwise a retry after a fallback could bypass the claim that keeps non-idempotent calls at
  // most once.
  if (Other->second.m_Idempotent != Pool.m_Idempotent) {
    report(Found, Path, fmt::format("pool {} differs in idempotent", Other->first));
  }
  if (isOnCycle(Objects, Pool.m_Name)) {
    report(Found, Path, "the fallbacks form a cycle");
  }
}

auto checkModelPools(const ObjectSet &Objects, Errors &Found) -> void {
  for (const auto &[Name, Pool] : Objects.m_ModelPools) {
    const auto Path = fmt::format("model_pool.{}", Name);
    checkModels(Pool, Path, Found);
    checkEngineFields(Pool, Path, Found);
    checkFallback(Objects, Pool, Path + ".fallback_pool", Found);
  }
}

auto checkTargets(const ObjectSet &Objects, Errors &Found) -> void {
  auto Owners = std::unordered_map<std::string_view, std::string_view>();
  for (const auto &[Name, Content] : Objects.m_Targets) {
    const auto Path = fmt::format("target.{}", Name);
    checkReference(Objects.m_ModelPools, Content.m_Pool, Path + ".pool", Found);
    if (Content.m_Url.empty()) {
      continue;
    }
    const auto [Iterator, IsNew] = Owners.try_emplace(Content.m_Url, Name);
    if (!IsNew) {
      report(Found, Path + ".url", fmt::format("target {} already has this URL", Iterator->second));
    }
  }
}

} // namespace

auto checkFields(const ObjectSet &Objects) -> std::vector<ObjectError> {
  auto Found = Errors();
  forEachKind([&]<typename Object>() {
    const auto &Map = Objects.*KindTraits<Object>::Objects;
    if (Map.size() > KindTraits<Object>::MaxObjects) {
      report(Found, std::string(kindName<Object>()),
             fmt::format("has {} objects, the limit is {}", Map.size(),
                         KindTraits<Object>::MaxObjects));
    }
    for (const auto &[Name, Content] : Map) {
      checkObject(Name, Content, Found);
    }
  });
  return Found;
}

auto checkReferences(const ObjectSet &Objects) -> std::vector<ObjectError> {
  auto Found = Errors();
  checkShares(Objects, Found);
  checkWorkspaces(Objects, Found);
  checkModelPools(Objects, Found);
  checkTargets(Objects, Found);
  return Found;
}

} // namespace internal

auto checkObjects(const ObjectSet &Objects) -> std::vector<ObjectError> {
  auto Found = internal::checkFields(Objects);
  auto References = internal::checkReferences(Objects);
  Found.insert(Found.end(), std::make_move_iterator(References.begin()),
               std::make_move_iterator(References.end()));
  return Found;
}

} // namespace geraniumlift::objects
