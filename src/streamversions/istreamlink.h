#pragma once

#include "streamversions/streamversiontypes.h"

namespace geraniumlift::streamversions {

/// Sends messages to other routers; they may be lost.
class IStreamLink {
public:
  virtual ~IStreamLink() = default;

  /// Sends a message to one router.
  virtual auto send(const std::string &Router, const StreamMessage &Message) -> void = 0;

  /// Sends an update to the neighbours, except to the router from which it came.
  virtual auto publish(const RecordUpdate &Update, const std::string &Except) -> void = 0;
};

} // namespace geraniumlift::streamversions
