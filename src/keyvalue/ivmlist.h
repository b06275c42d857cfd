#pragma once

#include "keyvalue/keyvaluetypes.h"

#include <absl/status/statusor.h>
#include <functional>
#include <vector>

namespace geraniumlift::keyvalue {

/// The platform's list of live and leaving VMs, which includes both entry VMs and targets. A VM
/// that is not on the list has been removed.
class IVmList {
public:
  using Callback = std::function<void(absl::StatusOr<std::vector<VmEntry>>)>;

  virtual ~IVmList() = default;

  /// Reads the list. The callback runs exactly once, on any thread.
  virtual auto read(Callback Done) -> void = 0;
};

} // namespace geraniumlift::keyvalue
