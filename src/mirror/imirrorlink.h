#pragma once

#include "mirror/mirrortypes.h"

namespace geraniumlift::mirror {

/// Sends messages about store records to other routers. Messages may be lost or arrive late.
class IMirrorLink {
public:
  virtual ~IMirrorLink() = default;
  virtual auto send(const std::string &Router, const MirrorRequest &Message) -> void = 0;
  virtual auto send(const std::string &Router, const MirrorUpdate &Message) -> void = 0;
};

} // namespace geraniumlift::mirror
