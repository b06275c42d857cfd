#pragma once

#include "targets/targettypes.h"

namespace geraniumlift::targets {

/// Receives the events of one stream, one call at a time, in order of offsets without gaps or
/// repeats.
class IStreamObserver {
public:
  virtual ~IStreamObserver() = default;

  virtual auto onEvent(StreamEvent Event) -> void = 0;

  /// The last call.
  virtual auto onEnd(StreamEnd End) -> void = 0;
};

/// A running stream.
class IEngineStream {
public:
  virtual ~IEngineStream() = default;

  /// Stops the stream and cancels the request on the engine; onEnd follows.
  virtual auto cancel() -> void = 0;
};

} // namespace geraniumlift::targets
