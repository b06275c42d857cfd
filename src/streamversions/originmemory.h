#pragma once

#include "base/iclock.h"
#include "streamversions/streamversiontypes.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>

namespace geraniumlift::streamversions {

/// Remembers where streams began for as long as they may be taken up. Bounded: the streams that
/// were reported first are dropped first.
class OriginMemory {
public:
  explicit OriginMemory(std::size_t MaxStreams) : m_MaxStreams(MaxStreams) {}

  /// Remembers a stream until the given time.
  auto put(StreamKey Key, const StreamOrigin &Origin, base::SteadyTime Until) -> void;

  [[nodiscard]] auto find(StreamKey Key, base::SteadyTime Now) const -> std::optional<StreamOrigin>;

  /// Streams of the pool that are remembered, at most so many, the newest first.
  [[nodiscard]] auto streamsOf(const std::string &Pool, std::size_t Most,
                               base::SteadyTime Now) const -> std::vector<OriginReport>;

  auto removeExpired(base::SteadyTime Now) -> void;

  [[nodiscard]] auto size() const -> std::size_t { return m_Streams.size(); }

private:
  struct Entry {
    StreamOrigin m_Origin;
    base::SteadyTime m_Until;
  };

  /// A time at which an entry was to expire when it was put.
  struct Expiry {
    StreamKey m_Key = 0;
    base::SteadyTime m_Until;
  };

  auto dropOldest() -> void;

  std::size_t m_MaxStreams;
  absl::flat_hash_map<StreamKey, Entry> m_Streams;
  std::deque<Expiry> m_Expiries;
};

} // namespace geraniumlift::streamversions
