#pragma once

#include "objects/objectkind.h"
#include "objects/objecttypes.h"

#include <string>
#include <vector>

namespace geraniumlift::objects {

enum class ChangeKind { Added, Changed, Removed };

inline constexpr auto ChangeKindNames = std::array{
    base::NamedValue<ChangeKind>{ChangeKind::Added, "added"},
    base::NamedValue<ChangeKind>{ChangeKind::Changed, "changed"},
    base::NamedValue<ChangeKind>{ChangeKind::Removed, "removed"},
};

/// One object that differs between two sets.
struct ObjectChange {
  ChangeKind m_Change = ChangeKind::Changed;
  ObjectKind m_Kind = ObjectKind::Budget;
  std::string m_Name;

  /// Names of the fields that differ; empty unless the change is Changed.
  std::vector<std::string> m_Fields;

  auto operator==(const ObjectChange &) const -> bool = default;
};

/// Lists the differences by kind; within a kind, added and changed objects by name, then removed
/// ones by name.
auto diffObjects(const ObjectSet &Before, const ObjectSet &After) -> std::vector<ObjectChange>;

} // namespace geraniumlift::objects
