#include "store.h"

#include "base/rapidjson.h"

#include <array>
#include <fmt/format.h>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
namespace rapidjson = geraniumlift::rapidjson;

namespace {

/// How long a call takes, and how long changes are remembered, as on the sheets of the sites.
constexpr auto CallTime = 4ms;
constexpr auto HistoryTime = 20s;

constexpr auto MaxPageItems = std::size_t{500};
constexpr auto MaxPageBytes = std::size_t{1000000};

constexpr auto Alphabet =
    std::string_view("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/");

auto encodeBase64(const std::string &Bytes) -> std::string {
  auto Text = std::string();
  Text.reserve(Bytes.size() * 4 / 3 + 4);
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    auto Group = std::uint32_t{0};
    for (std::size_t Next = At; Next < At + 3; ++Next) {
      Group = Group << 8U | (Next < Bytes.size() ? static_cast<unsigned char>(Bytes[Next]) : 0U);
    }
    for (std::size_t Part = 0; Part < 4; ++Part) {
      const auto Has = At + Part <= Bytes.size();
      Text += Has ? Alphabet[Group >> (18 - 6 * Part) & 63U] : '=';
    }
  }
  return Text;
}

auto decodeBase64(const std::string &Text) -> std::string {
  auto Bytes = std::string();
  auto Group = std::uint32_t{0};
  auto Bits = 0;
  for (const auto Letter : Text) {
    const auto Value = Alphabet.find(Letter);
    if (Value == std::string_view::npos) {
      break;
    }
    Group = Group << 6U | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Bytes += static_cast<char>(Group >> static_cast<unsigned>(Bits) & 255U);
    }
  }
  return Bytes;
}

/// A field of the query, percent-decoded; empty if it is absent.
auto queryField(const std::string &Target, const std::string &Name) -> std::string {
  auto Begin = Target.find("?" + Name + "=");
  if (Begin == std::string::npos) {
    Begin = Target.find("&" + Name + "=");
  }
  if (Begin == std::string::npos) {
    return {};
  }
  Begin += Name.size() + 2;
  const auto Encoded = Target.substr(Begin, Target.find('&', Begin) - Begin);
  auto Text = std::string();
  for (std::size_t At = 0; At < Encoded.size(); ++At) {
    if (Encoded[At] == '%' && At + 2 < Encoded.size()) {
      Text += static_cast<char>(std::stoi(Encoded.substr(At + 1, 2), nullptr, 16));
      At += 2;
    } else {
      Text += Encoded[At];
    }
  }
  return Text;
}

auto numberField(const std::string &Target, const std::string &Name) -> std::int64_t {
  const auto Text = queryField(Target, Name);
  return Text.empty() ? 0 : std::stoll(Text);
}

auto isOfPlatform(const std::string &Key) -> bool {
  return Key.starts_with("op/") || Key.starts_with("servers/");
}

/// A member that the routers always send.
auto member(const rapidjson::Value &Object, const char *Name) -> const rapidjson::Value & {
  return Object.FindMember(Name)->value;
}

auto rows(const rapidjson::Document &Document, const char *Name)
    -> std::vector<const rapidjson::Value *> {
  auto Result = std::vector<const rapidjson::Value *>();
  const auto Found = Document.FindMember(Name);
  if (Found != Document.MemberEnd() && Found->value.IsArray()) {
    for (const auto &Row : Found->value.GetArray()) {
      Result.push_back(&Row);
    }
  }
  return Result;
}

} // namespace

Store::Store(std::size_t Machines) : m_IsCut(Machines) {
  for (std::size_t Machine = 0; Machine < Machines; ++Machine) {
    m_Servers.push_back(
        std::make_unique<HttpServer>([this, Machine](Connection &Caller, const Message &Request) {
          return handle(Machine, Caller, Request);
        }));
  }
}

auto Store::cut(std::size_t Machine, bool IsCut) -> void {
  m_IsCut[Machine] = IsCut;
  m_Changed.notify_all();
}

auto Store::itemJson(const std::string &Key, const Item &Entry) -> std::string {
  return fmt::format(R"({{"key":"{}","value":"{}","revision":{},"created":{},"lease":0}})", Key,
                     encodeBase64(Entry.m_Value), Entry.m_Revision, Entry.m_Created);
}

auto Store::putLocked(const std::string &Key, const std::string &Value) -> void {
  auto &Entry = m_Items[Key];
  Entry.m_Value = Value;
  Entry.m_Revision = m_Revision;
  Entry.m_Created = Entry.m_Created == 0 ? m_Revision : Entry.m_Created;
  m_History.push_back({Clock::now(), Key, m_Revision, itemJson(Key, Entry)});
}

auto Store::eraseLocked(const std::string &Key) -> void {
  if (m_Items.erase(Key) > 0) {
    m_History.push_back(
        {Clock::now(), Key, m_Revision,
         fmt::format(R"({{"key":"{}","revision":{},"deleted":true}})", Key, m_Revision)});
  }
}

auto Store::put(const std::string &Key, const std::string &Value) -> std::int64_t {
  const auto Lock = std::lock_guard(m_Mutex);
  ++m_Revision;
  putLocked(Key, Value);
  m_Changed.notify_all();
  return m_Revision;
}

auto Store::erase(const std::string &Key) -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  ++m_Revision;
  eraseLocked(Key);
  m_Changed.notify_all();
}

auto Store::get(const std::string &Key) -> std::string {
  const auto Lock = std::lock_guard(m_Mutex);
  const auto Found = m_Items.find(Key);
  return Found == m_Items.end() ? std::string() : Found->second.m_Value;
}

auto Store::dropOldChanges() -> void {
  while (!m_History.empty() && Clock::now() - m_History.front().m_Time > HistoryTime) {
    m_LastDropped = m_History.front().m_Revision;
    m_History.pop_front();
  }
}

auto Store::range(const std::string &Target) -> std::string {
  const auto Prefix = queryField(Target, "pathPrefix");
  const auto After = queryField(Target, "after");
  const auto Lock = std::lock_guard(m_Mutex);
  auto Items = std::string();
  auto Count = std::size_t{0};
  auto HasMore = false;
  for (const auto &[Key, Entry] : m_Items) {
    if (!Key.starts_with(Prefix) || (!After.empty() && Key <= After)) {
      continue;
    }
    if (Count == MaxPageItems || Items.size() > MaxPageBytes) {
      HasMore = true;
      break;
    }
    Items += (Count++ == 0 ? "" : ",") + itemJson(Key, Entry);
  }
  return jsonResponse(200, fmt::format(R"({{"items":[{}],"morePages":{},"currentRev":{}}})", Items,
                                       HasMore, m_Revision));
}

auto Store::watch(std::size_t Machine, const std::string &Target) -> std::string {
  const auto Prefix = queryField(Target, "pathPrefix");
  const auto After = numberField(Target, "after");
  const auto Until = Clock::now() + std::chrono::milliseconds(numberField(Target, "waitMs"));
  auto Lock = std::unique_lock(m_Mutex);
  while (true) {
    dropOldChanges();
    if (After < m_LastDropped) {
      return jsonResponse(410, "{}");
    }
    auto Events = std::string();
    for (const auto &Item : m_History) {
      if (Item.m_Revision > After && Item.m_Key.starts_with(Prefix)) {
        Events += (Events.empty() ? "" : ",") + Item.m_Json;
      }
    }
    if (!Events.empty() || Clock::now() >= Until || m_IsCut[Machine]) {
      return jsonResponse(200,
                          fmt::format(R"({{"events":[{}],"currentRev":{}}})", Events, m_Revision));
    }
    m_Changed.wait_until(Lock, Until);
  }
}

auto Store::transact(const std::string &Body) -> std::string {
  auto Document = rapidjson::Document();
  if (!geraniumlift::base::parseObject(Body, Document)) {
    return jsonResponse(400, "{}");
  }
  const auto Lock = std::lock_guard(m_Mutex);
  for (const auto *Row : rows(Document, "writes")) {
    if (isOfPlatform(member(*Row, "key").GetString())) {
      return jsonResponse(403, "{}");
    }
  }
  auto Current = std::string();
  auto Holds = true;
  for (const auto *Row : rows(Document, "expectedRevision")) {
    const auto Key = std::string(member(*Row, "key").GetString());
    const auto Found = m_Items.find(Key);
    const auto Revision = Found == m_Items.end() ? 0 : Found->second.m_Revision;
    Holds = Holds && Revision == member(*Row, "revision").GetInt64();
    if (Found != m_Items.end()) {
      Current += (Current.empty() ? "" : ",") + itemJson(Key, Found->second);
    }
  }
  if (!Holds) {
    return jsonResponse(412, fmt::format(R"({{"items":[{}]}})", Current));
  }
  ++m_Revision;
  for (const auto *Row : rows(Document, "writes")) {
    putLocked(member(*Row, "key").GetString(), decodeBase64(member(*Row, "value").GetString()));
  }
  for (const auto *Row : rows(Document, "remove")) {
    eraseLocked(Row->GetString());
  }
  m_Changed.notify_all();
  return jsonResponse(200, fmt::format(R"({{"revision":{}}})", m_Revision));
}

auto Store::handle(std::size_t Machine, const Connection &Caller, const Message &Request) -> bool {
  std::this_thread::sleep_for(CallTime);
  if (m_IsCut[Machine]) {
    return false;
  }
  const auto Target = Request.secondWord();
  if (Target.starts_with("/kv-range")) {
    return Caller.write(range(Target));
  }
  if (Target.starts_with("/kv-watch")) {
    const auto Answer = watch(Machine, Target);
    return !m_IsCut[Machine] && Caller.write(Answer);
  }
  if (Target.starts_with("/kv-txn")) {
    return Caller.write(transact(Request.m_Body));
  }
  if (Target.starts_with("/kv-key")) {
    const auto Lock = std::lock_guard(m_Mutex);
    const auto Key = queryField(Target, "key");
    const auto Found = m_Items.find(Key);
    return Caller.write(Found == m_Items.end() ? jsonResponse(404, "{}")
                                               : jsonResponse(200, itemJson(Key, Found->second)));
  }
  return Caller.write(jsonResponse(404, "{}"));
}

} // namespace review
