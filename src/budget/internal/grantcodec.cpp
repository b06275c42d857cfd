#include "budget/internal/grantcodec.h"

#include "base/rapidjson.h"

namespace geraniumlift::budget::internal {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

template <typename Number>
auto readNonNegative(const rapidjson::Value &Object, const char *Name, Number &Into) -> bool {
  const auto Found = Object.FindMember(Name);
  if (Found == Object.MemberEnd() || !Found->value.IsInt64() || Found->value.GetInt64() < 0) {
    return false;
  }
  Into = static_cast<Number>(Found->value.GetInt64());
  return true;
}

auto writeAmounts(Writer &Out, const char *Key, const std::map<std::string, Tokens> &Amounts)
    -> void {
  Out.Key(Key);
  Out.StartObject();
  for (const auto &[Name, Amount] : Amounts) {
    Out.Key(Name.c_str());
    Out.Int64(Amount);
  }
  Out.EndObject();
}

auto readAmounts(const rapidjson::Value &Object, const char *Key,
                 std::map<std::string, Tokens> &Into) -> bool {
  const auto Found = Object.FindMember(Key);
  if (Found == Object.MemberEnd() || !Found->value.IsObject()) {
    return false;
  }
  for (const auto &Member : Found->value.GetObject()) {
    if (!Member.value.IsInt64()) {
      return false;
    }
    Into[Member.name.GetString()] = Member.value.GetInt64();
  }
  return true;
}

} // namespace

auto encodeTotals(const GrantTotals &Totals) -> std::string {
  auto Buffer = rapidjson::StringBuffer();
  auto Out = Writer(Buffer);
  Out.StartObject();
  Out.Key("granted");
  Out.Int64(Totals.m_Granted);
  Out.Key("settled");
  Out.Int64(Totals.m_Settled);
  Out.EndObject();
  return Buffer.GetString();
}

auto decodeTotals(std::string_view Text) -> absl::StatusOr<GrantTotals> {
  auto Document = rapidjson::Document();
  auto Totals = GrantTotals();
  if (!base::parseObject(Text, Document) ||
      !readNonNegative(Document, "granted", Totals.m_Granted) ||
      !readNonNegative(Document, "settled", Totals.m_Settled)) {
    return absl::InvalidArgumentError("not a valid record of the grant totals of a budget");
  }
  return Totals;
}

auto encodeLayout(std::int64_t Shards) -> std::string {
  auto Buffer = rapidjson::StringBuffer();
  auto Out = Writer(Buffer);
  Out.StartObject();
  Out.Key("parts");
  Out.Int64(Shards);
  Out.EndObject();
  return Buffer.GetString();
}

auto decodeLayout(std::string_view Text) -> absl::StatusOr<std::int64_t> {
  auto Document = rapidjson::Document();
  auto Shards = std::int64_t{0};
  if (!base::parseObject(Text, Document) || !readNonNegative(Document, "parts", Shards) ||
      Shards < 1) {
    return absl::InvalidArgumentError("not a valid record of the number of shards");
  }
  return Shards;
}

auto encodeRouterGrants(const RouterGrants &RouterRecord) -> std::string {
  auto Buffer = rapidjson::StringBuffer();
  auto Out = Writer(Buffer);
  Out.StartObject();
  Out.Key("incarnation");
  Out.Uint64(RouterRecord.m_Incarnation);
  Out.Key("sequence");
  Out.Uint64(RouterRecord.m_Sequence);
  writeAmounts(Out, "granted", RouterRecord.m_Granted);
  writeAmounts(Out, "settled", RouterRecord.m_Settled);
  if (RouterRecord.m_LastOutageMs != 0) {
    Out.Key("last_outage_ms");
    Out.Int64(RouterRecord.m_LastOutageMs);
  }
  Out.EndObject();
  return Buffer.GetString();
}

auto decodeRouterGrants(std::string_view Text) -> absl::StatusOr<RouterGrants> {
  auto Document = rapidjson::Document();
  auto RouterRecord = RouterGrants();
  if (!base::parseObject(Text, Document) ||
      !readNonNegative(Document, "incarnation", RouterRecord.m_Incarnation) ||
      !readNonNegative(Document, "sequence", RouterRecord.m_Sequence) ||
      !readAmounts(Document, "granted", RouterRecord.m_Granted) ||
      !readAmounts(Document, "settled", RouterRecord.m_Settled)) {
    return absl::InvalidArgumentError("not a valid record of the grants of a router");
  }
  // Records of earlier versions, and of routers without an outage, lack the field.
  static_cast<void>(readNonNegative(Document, "last_outage_ms", RouterRecord.m_LastOutageMs));
  return RouterRecord;
}

} // namespace geraniumlift::budget::internal
