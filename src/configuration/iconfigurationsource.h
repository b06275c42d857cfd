#pragma once

#include "configuration/configurationtypes.h"

#include <functional>

namespace geraniumlift::configuration {

/// Provides the configuration in force on this router.
class IConfigurationSource {
public:
  using Observer = std::function<void(SnapshotPointer)>;

  virtual ~IConfigurationSource() = default;

  /// The newest adopted snapshot. Never null; has generation 0 until one is adopted. Thread-safe.
  [[nodiscard]] virtual auto current() const -> SnapshotPointer = 0;

  /// Calls the observer with each newly adopted snapshot, in ascending order of generation.
  virtual auto subscribe(Observer Observe) -> void = 0;
};

} // namespace geraniumlift::configuration
