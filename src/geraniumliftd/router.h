#pragma once

#include "settings/settingstypes.h"

#include <absl/status/status.h>
#include <memory>

namespace geraniumlift::daemon {

/// One router process: creates the modules and connects them.
class Router {
public:
  explicit Router(settings::Settings Settings);
  ~Router();
  Router(const Router &) = delete;
  auto operator=(const Router &) -> Router & = delete;

  /// Binds the listeners and begins to serve. The peers' address comes first: holding it proves to
  /// the other routers that earlier processes on this VM have ended.
  auto start() -> absl::Status;

  /// Leaves the entry list, waits until callers have had time to learn it and all requests have
  /// ended, and returns the grants.
  auto drain() -> void;

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::daemon
