#include "streamversions/streamversionservice.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace geraniumlift::streamversions {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// Routers that are told where a stream began, and routers that are asked. More are asked because
/// some of those that were told may have ended.
constexpr auto ReportCopies = std::size_t{3};
constexpr auto QueryCopies = std::size_t{5};

/// Routers for which one router stores the origins of streams.
constexpr auto RoutersPerBucket = std::size_t{64};

/// Time after which queries are repeated, and after which a search ends without a result.
constexpr auto QueryRepeatDelay = 30ms;
constexpr auto QueryTimeout = 120ms;

/// Time between two readings of all stored origins.
constexpr auto StoreSearchInterval = 1000ms;

/// Pause after a call to the store that failed.
constexpr auto RetryDelay = 300ms;

/// Routers notice a new version at about the same time; the first write of one of them serves all.
constexpr auto MaxWriteDelay = 300ms;

/// Most reports in one datagram, so that it fits into one packet, and most that are sent of a pool
/// when a second version appears.
constexpr auto MaxReportsPerMessage = std::size_t{20};
constexpr auto MaxOldReports = std::size_t{2000};

/// How much longer than a stream's life a version stays in a record, for routers that learn late
/// that its last target has gone.
constexpr auto CloseMargin = 10000ms;

auto recordKey(const std::string &Pool) -> std::string { return std::string(VersionPrefix) + Pool; }

} // namespace

StreamVersionService::StreamVersionService(StreamVersionOptions Options,
                                           keyvalue::ITransactionStore &Store, IStreamLink &Link,
                                           base::ITimers &Timers, const base::IClock &Clock,
                                           base::IEventLog &Log)
    : m_Options(std::move(Options)), m_Store(Store), m_Link(Link), m_Timers(Timers), m_Clock(Clock),
      m_Log(Log), m_Records(m_Options.m_StreamLife + CloseMargin), m_Memory(m_Options.m_MaxStreams),
      m_OriginLog(fmt::format("{}/{}", m_Options.m_Router, m_Options.m_Incarnation), Store, Timers,
                  Clock, Log) {
  m_OriginLog.setLife(m_Options.m_StreamLife);
}

auto StreamVersionService::setStreamLife(milliseconds Life) -> void {
  m_Options.m_StreamLife = Life;
  m_Records.setCloseAfter(Life + CloseMargin);
  m_OriginLog.setLife(Life);
}

auto StreamVersionService::mayBegin(const std::string &Pool, const std::string &Version) const
    -> bool {
  return m_Records.names(Pool, Version);
}

auto StreamVersionService::onBegin(StreamKey Key, const StreamOrigin &Origin) -> void {
  m_Memory.put(Key, Origin, now() + m_Options.m_StreamLife);
  if (m_Records.isMixed(Origin.m_Pool)) {
    spread({{Key, Origin}});
  }
}

auto StreamVersionService::findOrigin(StreamKey Key, const std::string &Pool, OriginCallback Done)
    -> void {
  if (const auto Known = m_Memory.find(Key, now())) {
    Done(Known);
  } else if (m_Records.onlyVersion(Pool)) {
    confirmOnlyVersion(Key, Pool, std::move(Done));
  } else {
    askKeepers(Key, std::move(Done));
  }
}

auto StreamVersionService::confirmOnlyVersion(StreamKey Key, const std::string &Pool,
                                              OriginCallback Done) -> void {
  // Streams may have begun on a second version that this router has not heard of yet. The record
  // has named it since before.
  auto &Waiting = m_Confirmations[Pool];
  Waiting.emplace_back([this, Key, Pool, Done = std::move(Done)](bool IsRead) {
    const auto Only = m_Records.onlyVersion(Pool);
    if (IsRead && Only) {
      Done(StreamOrigin{Pool, *Only});
    } else {
      askKeepers(Key, Done);
    }
  });
  if (Waiting.size() > 1) {
    return;
  }
  m_Store.list(recordKey(Pool), [this, Pool](const absl::StatusOr<keyvalue::ListResult> &Result) {
    auto IsRead = false;
    if (Result.ok()) {
      for (const auto &Item : Result->m_Items) {
        adoptItem(Item);
        IsRead |= Item.m_Key == recordKey(Pool);
      }
    }
    for (const auto &Callback : std::exchange(m_Confirmations[Pool], {})) {
      Callback(IsRead);
    }
  });
}

auto StreamVersionService::keepersOf(StreamKey Key, std::size_t Most) const
    -> std::vector<std::string> {
  auto Ranked = std::vector<std::pair<std::uint64_t, std::string>>();
  const auto Bucket = bucketOf(Key);
  for (const auto &Router : m_Routers) {
    if (Router != m_Options.m_Router) {
      Ranked.emplace_back(base::rendezvousRank(Bucket, Router), Router);
    }
  }
  const auto Count = std::min(Most, Ranked.size());
  std::partial_sort(Ranked.begin(), Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end(), std::greater<>());
  auto Result = std::vector<std::string>();
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    Result.push_back(std::move(Ranked[Index].second));
  }
  return Result;
}

auto StreamVersionService::bucketOf(StreamKey Key) const -> std::string {
  return std::to_string(Key % (1 + m_Routers.size() / RoutersPerBucket));
}

auto StreamVersionService::storesOriginOf(StreamKey Key) const -> bool {
  const auto Bucket = bucketOf(Key);
  const auto Own = base::rendezvousRank(Bucket, m_Options.m_Router);
  return std::none_of(m_Routers.begin(), m_Routers.end(), [&](const auto &Router) {
    return Router != m_Options.m_Router && base::rendezvousRank(Bucket, Router) > Own;
  });
}

auto StreamVersionService::spread(const std::vector<OriginReport> &Reports) -> void {
  report(Reports);
  for (const auto &Item : Reports) {
    if (storesOriginOf(Item.m_Key)) {
      m_OriginLog.add(Item);
    }
  }
}

auto StreamVersionService::report(const std::vector<OriginReport> &Reports) -> void {
  auto ByRouter = std::map<std::string, OriginReports>();
  for (const auto &Item : Reports) {
    for (const auto &Router : keepersOf(Item.m_Key, ReportCopies)) {
      auto &Message = ByRouter[Router];
      Message.m_Reports.push_back(Item);
      if (Message.m_Reports.size() == MaxReportsPerMessage) {
        m_Link.send(Router, std::exchange(Message, {}));
      }
    }
  }
  for (const auto &[Router, Message] : ByRouter) {
    if (!Message.m_Reports.empty()) {
      m_Link.send(Router, Message);
    }
  }
}

auto StreamVersionService::askKeepers(StreamKey Key, OriginCallback Done) -> void {
  const auto Id = ++m_LastSearch;
  auto &Item = m_Searches[Id];
  Item.m_Key = Key;
  Item.m_Done = std::move(Done);
  for (auto &Router : keepersOf(Key, QueryCopies)) {
    Item.m_Asked.insert(std::move(Router));
  }
  if (Item.m_Asked.empty()) {
    endSearch(Id, std::nullopt);
    return;
  }
  sendQueries(Id);
}

auto StreamVersionService::sendQueries(std::uint64_t Id) -> void {
  auto &Item = m_Searches.at(Id);
  for (const auto &Router : Item.m_Asked) {
    m_Link.send(Router, OriginQuery{m_Options.m_Router, Id, Item.m_Key});
  }
  const auto Pause = Item.m_IsRepeated ? QueryTimeout - QueryRepeatDelay : QueryRepeatDelay;
  Item.m_Timer = m_Timers.start(now() + Pause, [this, Id] {
    auto &Waiting = m_Searches.at(Id);
    Waiting.m_Timer = 0;
    if (std::exchange(Waiting.m_IsRepeated, true)) {
      endSearch(Id, std::nullopt);
    } else {
      sendQueries(Id);
    }
  });
}

auto StreamVersionService::endSearch(std::uint64_t Id, const std::optional<StreamOrigin> &Origin)
    -> void {
  const auto Found = m_Searches.find(Id);
  const auto Ended = std::move(Found->second);
  m_Searches.erase(Found);
  m_Timers.cancel(Ended.m_Timer);
  if (Origin) {
    Ended.m_Done(Origin);
  } else {
    searchStore(Ended.m_Key, Ended.m_Done);
  }
}

auto StreamVersionService::searchStore(StreamKey Key, OriginCallback Done) -> void {
  // Readings are large. One of them serves all take-ups that come after a loss of routers.
  const auto IsReading = !m_StoreSearches.empty();
  if (!IsReading && (!m_IsStoreReachable || now() < m_NextStoreSearch)) {
    Done(m_Memory.find(Key, now()));
    return;
  }
  m_StoreSearches.emplace_back(
      [this, Key, Done = std::move(Done)] { Done(m_Memory.find(Key, now())); });
  if (IsReading) {
    return;
  }
  m_NextStoreSearch = now() + StoreSearchInterval;
  m_OriginLog.read([this](const std::optional<std::vector<OriginReport>> &Reports) {
    if (Reports) {
      remember(*Reports);
    }
    for (const auto &Callback : std::exchange(m_StoreSearches, {})) {
      Callback();
    }
  });
}

auto StreamVersionService::remember(const std::vector<OriginReport> &Reports) -> void {
  for (const auto &Item : Reports) {
    m_Memory.put(Item.m_Key, Item.m_Origin, now() + m_Options.m_StreamLife);
  }
}

auto StreamVersionService::onMessage(const StreamMessage &Message) -> void {
  if (const auto *Reports = std::get_if<OriginReports>(&Message)) {
    onReports(*Reports);
  } else if (const auto *Query = std::get_if<OriginQuery>(&Message)) {
    onQuery(*Query);
  } else if (const auto *Reply = std::get_if<OriginReply>(&Message)) {
    onReply(*Reply);
  } else {
    const auto &Update = std::get<RecordUpdate>(Message);
    adopt(Update.m_Record, Update.m_Router);
  }
}

auto StreamVersionService::onReports(const OriginReports &Message) -> void {
  remember(Message.m_Reports);
  for (const auto &Item : Message.m_Reports) {
    if (storesOriginOf(Item.m_Key)) {
      m_OriginLog.add(Item);
    }
  }
}

auto StreamVersionService::onQuery(const OriginQuery &Message) -> void {
  const auto Known = m_Memory.find(Message.m_Key, now());
  m_Link.send(Message.m_Router,
              OriginReply{Message.m_Id, Known.has_value(), Known.value_or(StreamOrigin())});
}

auto StreamVersionService::onReply(const OriginReply &Message) -> void {
  const auto Found = m_Searches.find(Message.m_Id);
  if (Found == m_Searches.end()) {
    return;
  }
  if (Message.m_IsKnown) {
    m_Memory.put(Found->second.m_Key, Message.m_Origin, now() + m_Options.m_StreamLife);
    endSearch(Message.m_Id, Message.m_Origin);
    return;
  }
  // Repeated queries may bring two replies of a router; the timeout covers what is missed then.
  if (++Found->second.m_Replies == Found->second.m_Asked.size() && !Found->second.m_IsRepeated) {
    endSearch(Message.m_Id, std::nullopt);
  }
}

auto StreamVersionService::adoptItem(const keyvalue::KeyValue &Item) -> void {
  if (!Item.m_Key.starts_with(VersionPrefix)) {
    return;
  }
  const auto Versions = decodeVersions(Item.m_Value);
  if (!Versions.ok()) {
    m_Log.record(base::LogLevel::Error, "version_record_unreadable",
                 {{"key", Item.m_Key}, {"reason", std::string(Versions.status().message())}});
    return;
  }
  adopt({Item.m_Key.substr(VersionPrefix.size()), *Versions, Item.m_ModRevision}, "");
}

auto StreamVersionService::adopt(const VersionRecord &Record, const std::string &From) -> void {
  const auto WasMixed = m_Records.isMixed(Record.m_Pool);
  if (!m_Records.adopt(Record)) {
    return;
  }
  auto Names = std::string();
  for (const auto &Version : Record.m_Versions) {
    Names.append(Names.empty() ? "" : ",").append(Version);
  }
  m_Log.record(base::LogLevel::Info, "stream_versions_changed",
               {{"pool", Record.m_Pool}, {"versions", Names}, {"revision", Record.m_Revision}});
  m_Link.publish({m_Options.m_Router, Record}, From);
  if (!WasMixed && m_Records.isMixed(Record.m_Pool)) {
    // Streams that began before need a record from now on.
    spread(m_Memory.streamsOf(Record.m_Pool, MaxOldReports, now()));
  }
}

auto StreamVersionService::readRecords() -> void {
  m_IsReading = true;
  m_Store.list(std::string(VersionPrefix),
               [this](const absl::StatusOr<keyvalue::ListResult> &Result) {
                 if (!Result.ok()) {
                   m_IsReading = false;
                   m_NextRead = now() + RetryDelay;
                   return;
                 }
                 auto IsMixed = false;
                 for (const auto &Item : Result->m_Items) {
                   adoptItem(Item);
                   IsMixed |= m_Records.isMixed(Item.m_Key.substr(VersionPrefix.size()));
                 }
                 if (IsMixed) {
                   readOrigins();
                 } else {
                   m_IsReading = false;
                   m_Records.setAllKnown();
                 }
               });
}

auto StreamVersionService::readOrigins() -> void {
  m_OriginLog.read([this](const std::optional<std::vector<OriginReport>> &Reports) {
    m_IsReading = false;
    if (!Reports) {
      m_NextRead = now() + RetryDelay;
      return;
    }
    remember(*Reports);
    m_Log.record(base::LogLevel::Info, "stream_origins_read", {{"streams", Reports->size()}});
    m_Records.setAllKnown();
  });
}

auto StreamVersionService::writeDelay(const std::string &Pool) const -> milliseconds {
  constexpr auto Range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto Share = static_cast<double>(base::rendezvousRank(Pool, m_Options.m_Router)) / Range;
  // In a small fleet the first router's turn would come late.
  const auto Most = std::min<milliseconds>(
      MaxWriteDelay, milliseconds(20) * static_cast<std::int64_t>(m_Routers.size()));
  return milliseconds(static_cast<std::int64_t>(Share * static_cast<double>(Most.count())));
}

auto StreamVersionService::advance(const Situation &Situation) -> void {
  m_Memory.removeExpired(now());
  m_Records.setPresent(Situation.m_VersionsByPool, now());
  m_IsStoreReachable = Situation.m_IsStoreReachable;
  m_OriginLog.setStoreReachable(m_IsStoreReachable);
  if (!Situation.m_IsStoreReachable) {
    return;
  }
  if (!m_Records.areAllKnown()) {
    if (!m_IsReading && now() >= m_NextRead) {
      readRecords();
    }
    return;
  }
  for (const auto &Pool : m_Records.poolsToExtend()) {
    writeRecord(Pool, false);
  }
  if (Situation.m_IsCurrent) {
    for (const auto &Pool : m_Records.poolsToClose(now())) {
      writeRecord(Pool, true);
    }
  }
}

auto StreamVersionService::writeRecord(const std::string &Pool, bool Closes) -> void {
  const auto [Turn, IsNew] = m_NextWrite.try_emplace(Pool, now() + writeDelay(Pool));
  if (now() < Turn->second) {
    if (IsNew) {
      m_Timers.start(Turn->second, [this, Pool, Closes] {
        const auto Due = Closes ? m_Records.poolsToClose(now()) : m_Records.poolsToExtend();
        if (std::find(Due.begin(), Due.end(), Pool) != Due.end()) {
          writeRecord(Pool, Closes);
        } else {
          m_NextWrite.erase(Pool);
        }
      });
    }
    return;
  }
  Turn->second = base::SteadyTime::max();
  const auto Record = m_Records.nextRecord(Pool, Closes, now());
  auto Request = keyvalue::Transaction();
  Request.m_Conditions.push_back({recordKey(Pool), Record.m_Revision});
  Request.m_Writes.push_back({recordKey(Pool), encodeVersions(Record.m_Versions)});
  m_Store.transact(std::move(Request), [this, Record](const keyvalue::TransactionResult &Result) {
    m_NextWrite.erase(Record.m_Pool);
    switch (Result.m_Outcome) {
    case keyvalue::TransactionOutcome::Applied:
      adopt({Record.m_Pool, Record.m_Versions, Result.m_Revision}, "");
      return;
    case keyvalue::TransactionOutcome::Conflict:
      if (Result.m_Current.empty()) {
        m_Records.forget(Record.m_Pool);
      }
      for (const auto &Item : Result.m_Current) {
        adoptItem(Item);
      }
      return;
    case keyvalue::TransactionOutcome::LeaseEnded:
    case keyvalue::TransactionOutcome::NotDone:
    case keyvalue::TransactionOutcome::Unknown:
      // An unknown outcome shows in the conflict of the next write.
      m_NextWrite[Record.m_Pool] = now() + RetryDelay;
      return;
    }
  });
}

} // namespace geraniumlift::streamversions
