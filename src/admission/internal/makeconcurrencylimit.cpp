#include "admission/internal/adaptivelimit.h"
#include "admission/internal/fixedlimit.h"

namespace geraniumlift::admission {

namespace {

template <typename Limit>
auto make(const DispatcherOptions &Options) -> std::unique_ptr<IConcurrencyLimit> {
  return std::make_unique<Limit>(Options);
}

struct LimitRow {
  LimitStrategy m_Strategy;
  std::unique_ptr<IConcurrencyLimit> (*m_Make)(const DispatcherOptions &);
};

constexpr auto Limits = std::array{
    LimitRow{LimitStrategy::Fixed, &make<FixedLimit>},
    LimitRow{LimitStrategy::Adaptive, &make<AdaptiveLimit>},
};

} // namespace

auto makeConcurrencyLimit(const DispatcherOptions &Options) -> std::unique_ptr<IConcurrencyLimit> {
  for (const auto &Row : Limits) {
    if (Row.m_Strategy == Options.m_LimitStrategy) {
      return Row.m_Make(Options);
    }
  }
  return nullptr;
}

} // namespace geraniumlift::admission
