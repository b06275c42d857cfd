#include "standins/platform/storestandin.h"

#include "base/rapidjson.h"

#include <absl/strings/escaping.h>
#include <fmt/format.h>

namespace geraniumlift::standins {

namespace {

/// End of the range of keys with a prefix; "\0" stands for all keys.
auto endOf(const std::string &Prefix) -> std::string {
  if (Prefix.empty()) {
    return {"\0", 1};
  }
  auto End = Prefix;
  ++End.back();
  return End;
}

/// A member that the caller of the store always sends.
auto member(const rapidjson::Value &Object, const char *Name) -> const rapidjson::Value & {
  return Object.FindMember(Name)->value;
}

} // namespace

StoreStandin::StoreStandin(boost::asio::io_context &Loop, int Port)
    : m_Server(Loop, Port, [this](const Received &Request) { return handle(Request); }) {}

auto StoreStandin::putLocked(const std::string &Key, const std::string &Value) -> void {
  m_Store.put(Key, Value, 0);
  m_Events.push_back({Key, m_Store.find(Key)->m_ModRevision, false});
}

auto StoreStandin::eraseLocked(const std::string &Key) -> void {
  if (m_Store.erase(Key, "") > 0) {
    m_Events.push_back({Key, m_Store.revision(), true});
  }
}

auto StoreStandin::put(const std::string &Key, const std::string &Value) -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  m_Store.beginWrites();
  putLocked(Key, Value);
}

auto StoreStandin::erase(const std::string &Key) -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  m_Store.beginWrites();
  eraseLocked(Key);
}

auto StoreStandin::get(const std::string &Key) -> std::string {
  const auto Lock = std::lock_guard(m_Mutex);
  const auto Found = m_Store.find(Key);
  return Found ? Found->m_Value : std::string();
}

auto StoreStandin::has(const std::string &Key) -> bool {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_Store.find(Key).has_value();
}

auto StoreStandin::compact() -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  m_Events.clear();
  m_OldestKnown = m_Store.revision();
}

auto StoreStandin::nameEra() -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  m_Era = 1;
}

auto StoreStandin::copy() -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  m_Copy = m_Store;
}

auto StoreStandin::returnFromCopy() -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  m_Store = m_Copy;
  m_Events.clear();
  m_OldestKnown = m_Store.revision();
  ++m_Era;
}

auto StoreStandin::itemText(const std::string &Key) -> std::string {
  const auto Found = m_Store.find(Key);
  return fmt::format(R"({{"key":"{}","value":"{}","revision":{},"created":{},"lease":0}})", Key,
                     absl::Base64Escape(Found->m_Value), Found->m_ModRevision,
                     Found->m_CreateRevision);
}

auto StoreStandin::range(const std::string &Prefix) -> Reply {
  auto Items = std::string();
  for (const auto &Entry :
       m_Store.range(Prefix.empty() ? std::string("\0", 1) : Prefix, endOf(Prefix), false)) {
    Items += (Items.empty() ? "" : ",") + itemText(Entry.m_Key);
  }
  return jsonReply(200, fmt::format(R"({{"items":[{}],"morePages":false,"currentRev":{}}})", Items,
                                    m_Store.revision()));
}

auto StoreStandin::watch(const std::string &Prefix, std::int64_t After) -> Reply {
  if (After < m_OldestKnown || After > m_Store.revision()) {
    return jsonReply(410, "{}");
  }
  auto Events = std::string();
  for (const auto &Event : m_Events) {
    if (Event.m_Revision <= After || !Event.m_Key.starts_with(Prefix)) {
      continue;
    }
    const auto Text = Event.m_IsRemoved || !m_Store.find(Event.m_Key)
                          ? fmt::format(R"({{"key":"{}","revision":{},"deleted":true}})",
                                        Event.m_Key, Event.m_Revision)
                          : itemText(Event.m_Key);
    Events += (Events.empty() ? "" : ",") + Text;
  }
  return jsonReply(200,
                   fmt::format(R"({{"events":[{}],"currentRev":{}}})", Events, m_Store.revision()));
}

auto StoreStandin::transact(const std::string &Body) -> std::optional<Reply> {
  auto Document = rapidjson::Document();
  Document.Parse(Body.c_str());
  auto Current = std::string();
  auto Holds = true;
  for (const auto &Row : member(Document, "expectedRevision").GetArray()) {
    const auto *Key = member(Row, "key").GetString();
    const auto Found = m_Store.find(Key);
    Holds = Holds && (Found ? Found->m_ModRevision : 0) == member(Row, "revision").GetInt64();
    if (Found) {
      Current += (Current.empty() ? "" : ",") + itemText(Key);
    }
  }
  if (Holds) {
    m_Store.beginWrites();
    for (const auto &Row : member(Document, "writes").GetArray()) {
      auto Value = std::string();
      absl::Base64Unescape(member(Row, "value").GetString(), &Value);
      putLocked(member(Row, "key").GetString(), Value);
    }
    for (const auto &Key : member(Document, "remove").GetArray()) {
      eraseLocked(Key.GetString());
    }
  }
  if (m_LostAnswers > 0) {
    --m_LostAnswers;
    return std::nullopt;
  }
  return Holds ? jsonReply(200, fmt::format(R"({{"revision":{}}})", m_Store.revision()))
               : jsonReply(412, fmt::format(R"({{"items":[{}]}})", Current));
}

auto StoreStandin::handle(const Received &Request) -> std::optional<Reply> {
  if (m_IsSilent) {
    return std::nullopt;
  }
  const auto Lock = std::lock_guard(m_Mutex);
  auto Result = answer(Request);
  if (Result && m_Era > 0) {
    const auto EndOfLine = Result->m_Bytes.find("\r\n");
    Result->m_Bytes.insert(EndOfLine + 2, fmt::format("Store-Era: {}\r\n", m_Era));
  }
  return Result;
}

auto StoreStandin::answer(const Received &Request) -> std::optional<Reply> {
  const auto &Target = Request.m_Head.m_Target;
  if (Target.starts_with("/kv-range")) {
    return range(queryValue(Target, "pathPrefix"));
  }
  if (Target.starts_with("/kv-key")) {
    const auto Key = queryValue(Target, "key");
    return m_Store.find(Key) ? jsonReply(200, itemText(Key)) : jsonReply(404, "{}");
  }
  if (Target.starts_with("/kv-watch")) {
    return watch(queryValue(Target, "pathPrefix"), std::stoll(queryValue(Target, "after")));
  }
  if (Target.starts_with("/kv-txn")) {
    return transact(Request.m_Body);
  }
  if (Target.starts_with("/kv-lease")) {
    auto Document = rapidjson::Document();
    Document.Parse(Request.m_Body.c_str());
    return jsonReply(200, fmt::format(R"({{"lease":{},"ttlMs":{}}})", ++m_LastLease,
                                      member(Document, "ttlMs").GetInt64()));
  }
  return jsonReply(404, "{}");
}

} // namespace geraniumlift::standins
