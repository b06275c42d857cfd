#pragma once

#include "configuration/configurationtypes.h"

#include <functional>

namespace geraniumlift::configuration {

/// Gives the configuration in force on this router.
class IConfigurationSource {
public:
  using Observer = std::function<void(SnapshotPointer)>;

  virtual ~IConfigurationSource() = default;

  /// The newest adopted snapshot; never null, generation 0 before the first one. Thread-safe.
  [[nodiscard]] virtual auto current() const -> SnapshotPointer = 0;

  /// Calls the observer with each newly adopted snapshot, in order of rising generation.
  virtual auto subscribe(Observer Observe) -> void = 0;
};

} // namespace geraniumlift::configuration
