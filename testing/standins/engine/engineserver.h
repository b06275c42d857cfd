#pragma once

#include "base/ischeduler.h"
#include "standins/engine/engine.h"

#include <memory>
#include <string>

namespace geraniumlift::standins {

/// Serves the engine over HTTP until it is destroyed.
class EngineServer {
public:
  /// Starts to listen on a URL such as http://127.0.0.1:8000; throws if it cannot.
  EngineServer(const std::string &Url, Engine &Served, base::IScheduler &Scheduler);
  ~EngineServer();

private:
  class Implementation;
  std::unique_ptr<Implementation> m_Implementation;
};

} // namespace geraniumlift::standins
