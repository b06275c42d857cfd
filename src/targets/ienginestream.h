#pragma once

#include "targets/targettypes.h"

namespace geraniumlift::targets {

/// Receives the events of one stream. Calls do not overlap, and events arrive in the order of their
/// offsets without gaps or repeats.
class IStreamObserver {
public:
  virtual ~IStreamObserver() = default;

  virtual auto onEvent(StreamEvent Event) -> void = 0;

  /// Called last.
  virtual auto onEnd(StreamEnd End) -> void = 0;
};

/// Handle of a running stream.
class IEngineStream {
public:
  virtual ~IEngineStream() = default;

  /// Stops the stream and cancels the request on the engine. The observer's onEnd is called
  /// afterwards. No effect on a stream that has ended.
  virtual auto cancel() -> void = 0;
};

} // namespace geraniumlift::targets
