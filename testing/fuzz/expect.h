#pragma once

#include <cstdio>
#include <cstdlib>

namespace geraniumlift::fuzz {

/// Ends the run with a crash, which libFuzzer reports with its input, if the condition is false.
inline auto expect(bool Condition, const char *Meaning) -> void {
  if (!Condition) {
    std::fprintf(stderr, "expectation failed: %s\n", Meaning);
    std::abort();
  }
}

} // namespace geraniumlift::fuzz
