#pragma once

#include "keyvalue/keyvaluetypes.h"

#include <absl/status/statusor.h>
#include <functional>
#include <vector>

namespace geraniumlift::keyvalue {

/// The platform's list of live and leaving VMs, of entry VMs and targets alike. A VM that is not on
/// it has been removed.
class IVmList {
public:
  using Callback = std::function<void(absl::StatusOr<std::vector<VmEntry>>)>;

  virtual ~IVmList() = default;

  /// Reads the list. The callback runs exactly once, on any thread.
  virtual auto read(Callback Done) -> void = 0;
};

} // namespace geraniumlift::keyvalue
