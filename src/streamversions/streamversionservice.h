#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "keyvalue/itransactionstore.h"
#include "streamversions/istreamlink.h"
#include "streamversions/istreamversions.h"
#include "streamversions/originlog.h"
#include "streamversions/originmemory.h"
#include "streamversions/versionrecords.h"

namespace geraniumlift::streamversions {

/// Prefix of the keys of all version records in the store.
inline constexpr std::string_view VersionPrefix = "geraniumlift/versions/";

/// Settings of a StreamVersionService.
struct StreamVersionOptions {
  /// Name of this router.
  std::string m_Router;

  /// Start of this router's process; differs from that of every other process on its VM.
  std::uint64_t m_Incarnation = 0;

  /// How long after its last event a stream may be taken up. Longer than any request may last.
  std::chrono::milliseconds m_StreamLife{30000};

  /// Most streams that are remembered.
  std::size_t m_MaxStreams = 32768;
};

/// Keeps the version records in the store up to date and finds out where streams began.
class StreamVersionService final : public IStreamVersions {
public:
  StreamVersionService(StreamVersionOptions Options, keyvalue::ITransactionStore &Store,
                       IStreamLink &Link, base::ITimers &Timers, const base::IClock &Clock,
                       base::IEventLog &Log);

  [[nodiscard]] auto mayBegin(const std::string &Pool, const std::string &Version) const
      -> bool override;
  auto onBegin(StreamKey Key, const StreamOrigin &Origin) -> void override;
  auto findOrigin(StreamKey Key, const std::string &Pool, OriginCallback Done) -> void override;

  /// Sets the other routers that are alive.
  auto setRouters(std::set<std::string> Routers) -> void { m_Routers = std::move(Routers); }

  /// Sets how long after its last event a stream may be taken up.
  auto setStreamLife(std::chrono::milliseconds Life) -> void;

  /// What the router knows of the targets and of the store.
  struct Situation {
    /// Versions of the targets of each pool.
    std::map<std::string, std::set<std::string>> m_VersionsByPool;
    bool m_IsStoreReachable = false;

    /// Whether the targets are known as of a moment ago.
    bool m_IsCurrent = false;
  };

  /// Reads the records after the start and writes those that are due.
  auto advance(const Situation &Now) -> void;

  /// Whether the records have been read since the start.
  [[nodiscard]] auto isReady() const -> bool { return m_Records.areAllKnown(); }

  /// Handles a message from another router.
  auto onMessage(const StreamMessage &Message) -> void;

  /// Number of streams that are remembered.
  [[nodiscard]] auto rememberedStreams() const -> std::size_t { return m_Memory.size(); }

private:
  /// A search for the origin of a stream.
  struct Search {
    StreamKey m_Key = 0;
    OriginCallback m_Done;
    base::TimerId m_Timer = 0;
    std::set<std::string> m_Asked;
    std::size_t m_Replies = 0;
    bool m_IsRepeated = false;
  };

  auto readRecords() -> void;

  /// Reads the stored origins of streams, unless no pool has several versions.
  auto readOrigins() -> void;

  /// Passes on where streams began, to the routers that keep it in memory and to the store.
  auto spread(const std::vector<OriginReport> &Reports) -> void;

  /// Whether this router stores the origin of the stream.
  [[nodiscard]] auto storesOriginOf(StreamKey Key) const -> bool;

  /// The part of the streams whose origins the same routers keep.
  [[nodiscard]] auto bucketOf(StreamKey Key) const -> std::string;

  /// Writes the record of a pool, unless a call for it is in flight.
  auto writeRecord(const std::string &Pool, bool Closes) -> void;
  auto adopt(const VersionRecord &Record, const std::string &From) -> void;
  auto adoptItem(const keyvalue::KeyValue &Item) -> void;

  /// Tells the routers that keep a copy where streams began.
  auto report(const std::vector<OriginReport> &Reports) -> void;

  /// The routers that keep a copy of a stream's origin, by rendezvous hashing.
  [[nodiscard]] auto keepersOf(StreamKey Key, std::size_t Most) const -> std::vector<std::string>;

  /// Makes sure that the record names only one version, and otherwise asks other routers.
  auto confirmOnlyVersion(StreamKey Key, const std::string &Pool, OriginCallback Done) -> void;
  auto askKeepers(StreamKey Key, OriginCallback Done) -> void;
  auto sendQueries(std::uint64_t Id) -> void;
  auto endSearch(std::uint64_t Id, const std::optional<StreamOrigin> &Origin) -> void;

  /// Looks for a stream that no router remembers among the stored origins.
  auto searchStore(StreamKey Key, OriginCallback Done) -> void;
  auto remember(const std::vector<OriginReport> &Reports) -> void;
  auto onReports(const OriginReports &Message) -> void;
  auto onQuery(const OriginQuery &Message) -> void;
  auto onReply(const OriginReply &Message) -> void;

  /// Time that this router leaves to others for a change of a record that all of them notice.
  [[nodiscard]] auto writeDelay(const std::string &Pool) const -> std::chrono::milliseconds;
  [[nodiscard]] auto now() const -> base::SteadyTime { return m_Clock.steadyNow(); }

  StreamVersionOptions m_Options;
  keyvalue::ITransactionStore &m_Store;
  IStreamLink &m_Link;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  VersionRecords m_Records;
  OriginMemory m_Memory;
  OriginLog m_OriginLog;
  std::set<std::string> m_Routers;
  bool m_IsReading = false;
  base::SteadyTime m_NextRead;

  /// Earliest time of the next write of a pool's record; far ahead while one is in flight.
  std::map<std::string, base::SteadyTime> m_NextWrite;

  /// Callers that wait for one reading of a pool's record, by pool.
  std::map<std::string, std::vector<std::function<void(bool IsRead)>>> m_Confirmations;
  std::map<std::uint64_t, Search> m_Searches;

  /// Callers that wait for one reading of the stored origins.
  std::vector<std::function<void()>> m_StoreSearches;
  base::SteadyTime m_NextStoreSearch;
  bool m_IsStoreReachable = false;
  std::uint64_t m_LastSearch = 0;
};

} // namespace geraniumlift::streamversions
