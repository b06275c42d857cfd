#pragma once

#include "base/nametable.h"

#include <array>

namespace geraniumlift::transport {

/// Why a connection has to go.
enum class EvictionReason { Memory, Connections };

inline constexpr auto EvictionReasonNames = std::array{
    base::NamedValue<EvictionReason>{EvictionReason::Memory, "memory"},
    base::NamedValue<EvictionReason>{EvictionReason::Connections, "connections"},
};

/// A connection whose bytes a MemoryAccount counts.
class IMemoryHolder {
public:
  virtual ~IMemoryHolder() = default;

  /// Refuses the request that is being read, or closes the connection, and releases its bytes.
  virtual auto evict(EvictionReason Reason) -> void = 0;

  /// Asks again for the read that was not granted.
  virtual auto onRoom() -> void = 0;
};

} // namespace geraniumlift::transport
