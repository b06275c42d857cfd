#pragma once

#include "base/nametable.h"

namespace geraniumlift::base {

/// Says whether a request may have run on its target. A caller may repeat a non-idempotent request
/// only after DidNotRun.
enum class Verdict { DidNotRun, MayHaveRun, Ran };

inline constexpr auto VerdictNames = std::array{
    NamedValue<Verdict>{Verdict::DidNotRun, "did_not_run"},
    NamedValue<Verdict>{Verdict::MayHaveRun, "may_have_run"},
    NamedValue<Verdict>{Verdict::Ran, "ran"},
};

} // namespace geraniumlift::base
