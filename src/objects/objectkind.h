#pragma once

#include "base/nametable.h"

namespace geraniumlift::objects {

/// The kinds of operator objects. Their names are also those of the tables in the operators' files.
enum class ObjectKind { Budget, PriorityClass, Workspace, ModelPool, Target };

inline constexpr auto ObjectKindNames = std::array{
    base::NamedValue<ObjectKind>{ObjectKind::Budget, "budget"},
    base::NamedValue<ObjectKind>{ObjectKind::PriorityClass, "priority_class"},
    base::NamedValue<ObjectKind>{ObjectKind::Workspace, "workspace"},
    base::NamedValue<ObjectKind>{ObjectKind::ModelPool, "model_pool"},
    base::NamedValue<ObjectKind>{ObjectKind::Target, "target"},
};

} // namespace geraniumlift::objects
