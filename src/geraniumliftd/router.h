#pragma once

#include "settings/settingstypes.h"

#include <absl/status/status.h>
#include <memory>

namespace geraniumlift::daemon {

/// A router process: creates the modules and connects them.
class Router {
public:
  explicit Router(settings::Settings Settings);
  ~Router();
  Router(const Router &) = delete;
  auto operator=(const Router &) -> Router & = delete;

  /// Opens the listeners and starts to serve. The address for peers is bound first:
  /// holding it proves to the other routers that earlier processes on this VM have ended.
  auto start() -> absl::Status;

  /// Leaves the entry list, waits until callers have had time to notice and all requests have
  /// finished, and returns the grants. Blocks until this is done.
  auto drain() -> void;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::daemon
