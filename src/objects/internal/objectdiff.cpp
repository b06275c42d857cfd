#include "objects/objectdiff.h"

#include "objects/internal/objectfields.h"

namespace geraniumlift::objects {

namespace {

template <typename Object>
auto changedFields(const Object &Before, const Object &After) -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  for (const auto &Descriptor : internal::KindTraits<Object>::Fields) {
    const auto IsSame = std::visit([&](auto Member) { return Before.*Member == After.*Member; },
                                   Descriptor.m_Member);
    if (!IsSame) {
      Names.emplace_back(Descriptor.m_Name);
    }
  }
  return Names;
}

/// Adds a change for each object of After that is missing from Before or differs there.
template <typename Object>
auto addNewAndChanged(const std::map<std::string, Object> &Before,
                      const std::map<std::string, Object> &After,
                      std::vector<ObjectChange> &Changes) -> void {
  constexpr auto Kind = internal::KindTraits<Object>::Kind;
  for (const auto &[Name, Content] : After) {
    const auto Old = Before.find(Name);
    if (Old == Before.end()) {
      Changes.push_back({ChangeKind::Added, Kind, Name, {}});
    } else if (Old->second != Content) {
      Changes.push_back({ChangeKind::Changed, Kind, Name, changedFields(Old->second, Content)});
    }
  }
}

} // namespace

auto diffObjects(const ObjectSet &Before, const ObjectSet &After) -> std::vector<ObjectChange> {
  auto Changes = std::vector<ObjectChange>();
  internal::forEachKind([&]<typename Object>() {
    const auto &Old = Before.*internal::KindTraits<Object>::Objects;
    const auto &New = After.*internal::KindTraits<Object>::Objects;
    addNewAndChanged(Old, New, Changes);
    for (const auto &[Name, Content] : Old) {
      if (!New.contains(Name)) {
        Changes.push_back({ChangeKind::Removed, internal::KindTraits<Object>::Kind, Name, {}});
      }
    }
  });
  return Changes;
}

} // namespace geraniumlift::objects
