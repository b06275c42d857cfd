#include "admission/internal/adaptivelimit.h"
#include "admission/internal/fixedlimit.h"

namespace geraniumlift::admission {

namespace {

template <typename Limit>
auto make(const DispatcherOptions &Options) -> std::unique_ptr<IConcurrencyLimit> {
  return std::make_unique<Limit>(Options);
}

struct LimitRow {
  LimitKind m_Kind;
  std::unique_ptr<IConcurrencyLimit> (*m_Make)(const DispatcherOptions &);
};

constexpr auto Limits = std::array{
    LimitRow{LimitKind::Fixed, &make<FixedLimit>},
    LimitRow{LimitKind::Adaptive, &make<AdaptiveLimit>},
};

} // namespace

auto makeConcurrencyLimit(const DispatcherOptions &Options) -> std::unique_ptr<IConcurrencyLimit> {
  for (const auto &Row : Limits) {
    if (Row.m_Kind == Options.m_LimitKind) {
      return Row.m_Make(Options);
    }
  }
  return nullptr;
}

} // namespace geraniumlift::admission
