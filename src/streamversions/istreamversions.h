#pragma once

#include "streamversions/streamversiontypes.h"

#include <functional>
#include <optional>

namespace geraniumlift::streamversions {

/// Tells forwarding on which versions streams may begin and continue.
class IStreamVersions {
public:
  using OriginCallback = std::function<void(std::optional<StreamOrigin>)>;

  virtual ~IStreamVersions() = default;

  /// Whether a stream may begin at a target of the pool that runs the version.
  [[nodiscard]] virtual auto mayBegin(const std::string &Pool, const std::string &Version) const
      -> bool = 0;

  /// Records where a stream begins or continues. Must be called before its first event is passed
  /// on.
  virtual auto onBegin(StreamKey Key, const StreamOrigin &Origin) -> void = 0;

  /// Finds where a stream of the pool began. The callback runs once, within the call or later, with
  /// nothing if that cannot be found out.
  virtual auto findOrigin(StreamKey Key, const std::string &Pool, OriginCallback Done) -> void = 0;
};

} // namespace geraniumlift::streamversions
