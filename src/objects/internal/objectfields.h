#pragma once

#include "objects/internal/textrules.h"
#include "objects/objectkind.h"
#include "objects/objecttypes.h"

#include <array>
#include <limits>
#include <string_view>
#include <variant>

namespace geraniumlift::objects::internal {

/// Pointer to a member of an object, by the member's type.
template <typename Object>
using FieldMember =
    std::variant<std::string Object::*, std::int64_t Object::*, double Object::*, bool Object::*,
                 TargetKind Object::*, std::vector<std::string> Object::*,
                 std::optional<std::string> Object::*, std::optional<std::int64_t> Object::*>;

/// Describes one field of a kind of object. The table of these descriptors drives parsing,
/// checking, encoding, decoding and comparing.
template <typename Object>
struct FieldDescriptor {
  std::string_view m_Name;
  FieldMember<Object> m_Member;

  /// Whether the operators' files must set the field.
  bool m_Required = false;

  /// Inclusive range of a number. For a list, the maximum is its largest number of elements.
  double m_Min = 0.0;
  double m_Max = 0.0;

  /// Rule for a text, or for each element of a list.
  TextRule m_Rule = checkAnyText;
};

/// Maps an object type to its ObjectKind, its map in ObjectSet, its largest number of objects and
/// its fields.
template <typename Object>
struct KindTraits;

/// Largest number of tokens that a field may state. A sum of 25,000 such values fits into 64 bits.
inline constexpr double MaxTokens = 1e14;

template <>
struct KindTraits<Budget> {
  static constexpr auto Kind = ObjectKind::Budget;
  static constexpr auto Objects = &ObjectSet::m_Budgets;
  static constexpr std::size_t MaxObjects = 100'000;
  static constexpr auto Fields = std::array{
      FieldDescriptor<Budget>{"max_grant_tokens", &Budget::m_MaxGrantTokens, false, 1.0, MaxTokens},
  };
};

template <>
struct KindTraits<PriorityClass> {
  static constexpr auto Kind = ObjectKind::PriorityClass;
  static constexpr auto Objects = &ObjectSet::m_PriorityClasses;
  static constexpr std::size_t MaxObjects = 32;
  static constexpr auto Fields = std::array{
      FieldDescriptor<PriorityClass>{"level", &PriorityClass::m_Level, true, 0.0, 100.0},
      FieldDescriptor<PriorityClass>{"guaranteed_share", &PriorityClass::m_GuaranteedShare, false,
                                     0.0, 1.0},
  };
};

template <>
struct KindTraits<Workspace> {
  static constexpr auto Kind = ObjectKind::Workspace;
  static constexpr auto Objects = &ObjectSet::m_Workspaces;
  static constexpr std::size_t MaxObjects = 60'000;
  static constexpr auto Fields = std::array{
      FieldDescriptor<Workspace>{"budget", &Workspace::m_Budget, true, 0.0, 0.0, checkName},
      FieldDescriptor<Workspace>{"priority_class", &Workspace::m_PriorityClass, true, 0.0, 0.0,
                                 checkName},
      FieldDescriptor<Workspace>{"weight", &Workspace::m_Weight, false, 0.001, 1'000'000.0},
      FieldDescriptor<Workspace>{"key_hashes", &Workspace::m_KeyHashes, false, 0.0, 1'000.0,
                                 checkKeyHash},
  };
};

template <>
struct KindTraits<ModelPool> {
  static constexpr auto Kind = ObjectKind::ModelPool;
  static constexpr auto Objects = &ObjectSet::m_ModelPools;
  static constexpr std::size_t MaxObjects = 400;
  static constexpr auto Fields = std::array{
      FieldDescriptor<ModelPool>{"kind", &ModelPool::m_Kind, true},
      FieldDescriptor<ModelPool>{"models", &ModelPool::m_Models, false, 0.0, 400.0, checkModelName},
      FieldDescriptor<ModelPool>{"idempotent", &ModelPool::m_Idempotent},
      FieldDescriptor<ModelPool>{"tokens_per_call", &ModelPool::m_TokensPerCall, false, 0.0,
                                 MaxTokens},
      FieldDescriptor<ModelPool>{"fallback_pool", &ModelPool::m_FallbackPool, false, 0.0, 0.0,
                                 checkName},
  };
};

template <>
struct KindTraits<Target> {
  static constexpr auto Kind = ObjectKind::Target;
  static constexpr auto Objects = &ObjectSet::m_Targets;
  static constexpr std::size_t MaxObjects = 8'000;
  static constexpr auto Fields = std::array{
      FieldDescriptor<Target>{"pool", &Target::m_Pool, true, 0.0, 0.0, checkName},
      FieldDescriptor<Target>{"url", &Target::m_Url, true, 0.0, 0.0, checkTargetUrl},
      FieldDescriptor<Target>{"data_centre", &Target::m_DataCentre, true, 0.0, 0.0, checkName},
      FieldDescriptor<Target>{"vm", &Target::m_Vm, false, 0.0, 0.0, checkVmName},
      FieldDescriptor<Target>{"slots", &Target::m_Slots, false, 1.0, 10'000.0},
      FieldDescriptor<Target>{"checks_fencing", &Target::m_ChecksFencing},
      FieldDescriptor<Target>{"leaving", &Target::m_Leaving},
  };
};

/// Calls Visit.operator()<Object>() for each kind of object, in the order of ObjectKind.
template <typename Visitor>
auto forEachKind(Visitor &&Visit) -> void {
  Visit.template operator()<Budget>();
  Visit.template operator()<PriorityClass>();
  Visit.template operator()<Workspace>();
  Visit.template operator()<ModelPool>();
  Visit.template operator()<Target>();
}

/// Returns the name of a kind in files and field paths.
template <typename Object>
constexpr auto kindName() -> std::string_view {
  return base::nameOf(ObjectKindNames, KindTraits<Object>::Kind);
}

} // namespace geraniumlift::objects::internal
