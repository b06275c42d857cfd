#pragma once

#include "geraniumctl/internal/errorreport.h"

#include <algorithm>
#include <thread>

namespace geraniumlift::geraniumctl::internal {

/// Pause before a call is retried.
inline constexpr auto RetryInterval = std::chrono::milliseconds{200};

/// Calls a function that returns a StatusOr until its status is not one of isUnreachable() or the
/// timeout of the options has passed, and returns the last result.
template <typename Function>
auto retryWhileUnreachable(const CommandContext &Context, Function Call) -> decltype(Call()) {
  const auto End = Context.m_Clock.steadyNow() + Context.m_Options.m_Timeout;
  while (true) {
    auto Result = Call();
    const auto Left = End - Context.m_Clock.steadyNow();
    if (Result.ok() || !isUnreachable(Result.status()) || Left <= Left.zero()) {
      return Result;
    }
    std::this_thread::sleep_for(std::min<std::chrono::nanoseconds>(RetryInterval, Left));
  }
}

} // namespace geraniumlift::geraniumctl::internal
