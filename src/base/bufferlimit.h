#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace geraniumlift::base {

/// Buffers bytes that a BufferLimit counts.
class IBufferHolder {
public:
  virtual ~IBufferHolder() = default;

  /// Gives up what the bytes are buffered for, and releases them.
  virtual auto dropBuffer() -> void = 0;
};

/// Bounds the bytes that several holders buffer together. If there are too many, the holder of most
/// gives up. A source that sends without end thus loses its buffers before others lose theirs. Not
/// thread-safe.
class BufferLimit {
public:
  explicit BufferLimit(std::size_t MaxBytes) : m_MaxBytes(MaxBytes) {}

  /// States how many bytes the holder buffers. This or another holder may be told to give up before
  /// the function returns. A holder must state 0 before it is destroyed.
  auto setHeld(IBufferHolder &Holder, std::size_t Bytes) -> void;

  auto setLimit(std::size_t MaxBytes) -> void { m_MaxBytes = MaxBytes; }
  [[nodiscard]] auto heldBytes() const -> std::size_t { return m_HeldBytes; }

  /// How often a holder was told to give up.
  [[nodiscard]] auto drops() const -> std::uint64_t { return m_Drops; }

private:
  std::size_t m_MaxBytes;
  std::size_t m_HeldBytes = 0;
  std::uint64_t m_Drops = 0;
  std::unordered_map<IBufferHolder *, std::size_t> m_Holders;
};

} // namespace geraniumlift::base
