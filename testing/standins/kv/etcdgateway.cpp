#include "etcdgateway.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <stdexcept>

namespace geraniumlift::standin {

namespace {

using Json = web::json::value;

/// The platform's limit on a value.
constexpr std::size_t MaxValueBytes = std::size_t{1} << 20;

// Numbers of gRPC's status codes, which the gateway repeats in its error bodies.
constexpr std::int64_t GrpcInvalidArgument = 3;
constexpr std::int64_t GrpcNotFound = 5;

constexpr std::int64_t HttpBadRequest = 400;
constexpr std::int64_t HttpNotFound = 404;

/// The gateway accepts a field by its protobuf name and in lowerCamelCase.
auto field(const Json &Body, const char *Name, const char *CamelName) -> Json {
  if (Body.is_object() && Body.has_field(Name)) {
    return Body.at(Name);
  }
  return Body.is_object() && Body.has_field(CamelName) ? Body.at(CamelName) : Json();
}

auto bytesField(const Json &Body, const char *Name, const char *CamelName) -> std::string {
  const auto Field = field(Body, Name, CamelName);
  auto Bytes = std::string();
  if (!Field.is_null() && !absl::Base64Unescape(Field.as_string(), &Bytes)) {
    throw std::invalid_argument(std::string("illegal base64 data in ") + Name);
  }
  return Bytes;
}

auto numberField(const Json &Body, const char *Name, const char *CamelName) -> std::int64_t {
  const auto Field = field(Body, Name, CamelName);
  if (Field.is_null()) {
    return 0;
  }
  if (Field.is_number()) {
    return Field.as_number().to_int64();
  }
  auto Number = std::int64_t{0};
  if (!absl::SimpleAtoi(Field.as_string(), &Number)) {
    throw std::invalid_argument(std::string("not a number: ") + Name);
  }
  return Number;
}

/// A list, empty if the field is missing.
auto listField(const Json &Body, const char *Name) -> Json {
  const auto Field = field(Body, Name, Name);
  return Field.is_null() ? Json::array() : Field;
}

auto key(const Json &Body) -> std::string { return bytesField(Body, "key", "key"); }
auto rangeEnd(const Json &Body) -> std::string { return bytesField(Body, "range_end", "rangeEnd"); }
auto leaseOf(const Json &Body) -> std::int64_t { return numberField(Body, "lease", "lease"); }

auto setNumber(Json &Body, const char *Name, std::int64_t Number) -> void {
  if (Number != 0) {
    Body[Name] = Json::string(std::to_string(Number));
  }
}

auto error(std::int64_t Status, std::int64_t Code, const std::string &Message) -> Answer {
  auto Body = Json::object();
  Body["error"] = Json::string(Message);
  Body["code"] = Json::number(Code);
  Body["message"] = Json::string(Message);
  return {Status, Body};
}

auto leaseNotFound() -> Answer {
  return error(HttpNotFound, GrpcNotFound, "etcdserver: requested lease not found");
}

auto entryBody(const StoredEntry &Entry) -> Json {
  auto Body = Json::object();
  Body["key"] = Json::string(absl::Base64Escape(Entry.m_Key));
  setNumber(Body, "create_revision", Entry.m_Value.m_CreateRevision);
  setNumber(Body, "mod_revision", Entry.m_Value.m_ModRevision);
  setNumber(Body, "version", Entry.m_Value.m_Version);
  setNumber(Body, "lease", Entry.m_Value.m_Lease);
  if (!Entry.m_Value.m_Value.empty()) {
    Body["value"] = Json::string(absl::Base64Escape(Entry.m_Value.m_Value));
  }
  return Body;
}

} // namespace

auto EtcdGateway::call(const std::string &Path, const Json &Body, bool Stale, base::SteadyTime Now)
    -> Answer {
  m_Store.expireLeases(Now);
  try {
    if (Path == "/v3/kv/range") {
      return range(Body, Stale);
    }
    if (Path == "/v3/kv/put") {
      return put(Body);
    }
    if (Path == "/v3/kv/txn") {
      return transaction(Body);
    }
    if (Path == "/v3/lease/grant") {
      return grantLease(Body, Now);
    }
    if (Path == "/v3/lease/keepalive") {
      return keepAlive(Body, Now);
    }
    if (Path == "/v3/lease/revoke") {
      return revokeLease(Body);
    }
  } catch (const std::exception &Exception) {
    return error(HttpBadRequest, GrpcInvalidArgument, Exception.what());
  }
  return error(HttpNotFound, GrpcNotFound, "Not Found");
}

auto EtcdGateway::header() const -> Json {
  auto Body = Json::object();
  setNumber(Body, "cluster_id", 1);
  setNumber(Body, "member_id", 1);
  setNumber(Body, "revision", m_Store.revision());
  setNumber(Body, "raft_term", 1);
  return Body;
}

auto EtcdGateway::rangeBody(const Json &Request, bool Stale) const -> Json {
  const auto Entries = m_Store.range(key(Request), rangeEnd(Request), Stale);
  auto Body = Json::object();
  Body["header"] = header();
  if (!Entries.empty()) {
    auto List = std::vector<Json>();
    for (const auto &Entry : Entries) {
      List.push_back(entryBody(Entry));
    }
    Body["kvs"] = Json::array(List);
    setNumber(Body, "count", static_cast<std::int64_t>(Entries.size()));
  }
  return Body;
}

auto EtcdGateway::range(const Json &Body, bool Stale) -> Answer {
  return {.m_Body = rangeBody(Body, Stale)};
}

auto EtcdGateway::checkPut(const Json &Request) const -> Answer {
  if (key(Request).empty()) {
    return error(HttpBadRequest, GrpcInvalidArgument, "etcdserver: key is not provided");
  }
  if (bytesField(Request, "value", "value").size() > MaxValueBytes) {
    return error(HttpBadRequest, GrpcInvalidArgument, "etcdserver: request is too large");
  }
  const auto Lease = leaseOf(Request);
  return Lease != 0 && !m_Store.hasLease(Lease) ? leaseNotFound() : Answer{};
}

auto EtcdGateway::applyPut(const Json &Request) -> void {
  m_Store.put(key(Request), bytesField(Request, "value", "value"), leaseOf(Request));
}

auto EtcdGateway::put(const Json &Body) -> Answer {
  auto Checked = checkPut(Body);
  if (Checked.m_Status != 200) {
    return Checked;
  }
  m_Store.beginWrites();
  applyPut(Body);
  auto Result = Json::object();
  Result["header"] = header();
  return {.m_Body = Result};
}

auto EtcdGateway::compareHolds(const Json &Compare) const -> bool {
  const auto Current = m_Store.find(key(Compare)).value_or(StoredValue{});
  const auto TargetField = field(Compare, "target", "target");
  const auto Target = TargetField.is_null() ? std::string("VERSION") : TargetField.as_string();
  auto Left = Current.m_Version;
  auto Right = numberField(Compare, "version", "version");
  if (Target == "MOD") {
    Left = Current.m_ModRevision;
    Right = numberField(Compare, "mod_revision", "modRevision");
  } else if (Target == "CREATE") {
    Left = Current.m_CreateRevision;
    Right = numberField(Compare, "create_revision", "createRevision");
  } else if (Target != "VERSION") {
    throw std::invalid_argument("unsupported compare target " + Target);
  }
  const auto ResultField = field(Compare, "result", "result");
  const auto Result = ResultField.is_null() ? std::string("EQUAL") : ResultField.as_string();
  if (Result == "EQUAL") {
    return Left == Right;
  }
  if (Result == "NOT_EQUAL") {
    return Left != Right;
  }
  return Result == "GREATER" ? Left > Right : Left < Right;
}

auto EtcdGateway::applyOperation(const Json &Operation) -> Json {
  auto Response = Json::object();
  if (const auto Put = field(Operation, "request_put", "requestPut"); !Put.is_null()) {
    applyPut(Put);
    Response["response_put"]["header"] = header();
  } else if (const auto Erase = field(Operation, "request_delete_range", "requestDeleteRange");
             !Erase.is_null()) {
    auto Body = Json::object();
    setNumber(Body, "deleted", m_Store.erase(key(Erase), rangeEnd(Erase)));
    Body["header"] = header();
    Response["response_delete_range"] = Body;
  } else if (const auto Range = field(Operation, "request_range", "requestRange");
             !Range.is_null()) {
    Response["response_range"] = rangeBody(Range, false);
  } else {
    throw std::invalid_argument("unsupported operation in a transaction");
  }
  return Response;
}

auto EtcdGateway::transaction(const Json &Body) -> Answer {
  auto Holds = true;
  const auto Compares = listField(Body, "compare");
  for (const auto &Compare : Compares.as_array()) {
    Holds = Holds && compareHolds(Compare);
  }
  const auto Operations = listField(Body, Holds ? "success" : "failure");
  for (const auto &Operation : Operations.as_array()) {
    const auto Put = field(Operation, "request_put", "requestPut");
    if (auto Checked = Put.is_null() ? Answer{} : checkPut(Put); Checked.m_Status != 200) {
      return Checked;
    }
  }
  auto Responses = std::vector<Json>();
  m_Store.beginWrites();
  for (const auto &Operation : Operations.as_array()) {
    Responses.push_back(applyOperation(Operation));
  }
  auto Result = Json::object();
  Result["header"] = header();
  if (Holds) {
    Result["succeeded"] = Json::boolean(true);
  }
  Result["responses"] = Json::array(Responses);
  return {.m_Body = Result};
}

auto EtcdGateway::grantLease(const Json &Body, base::SteadyTime Now) -> Answer {
  const auto TimeToLive = numberField(Body, "TTL", "TTL");
  if (TimeToLive <= 0) {
    return error(HttpBadRequest, GrpcInvalidArgument, "etcdserver: too small lease TTL");
  }
  auto Result = Json::object();
  setNumber(Result, "ID", m_Store.grantLease(std::chrono::seconds{TimeToLive}, Now));
  setNumber(Result, "TTL", TimeToLive);
  Result["header"] = header();
  return {.m_Body = Result};
}

auto EtcdGateway::keepAlive(const Json &Body, base::SteadyTime Now) -> Answer {
  const auto Lease = numberField(Body, "ID", "ID");
  auto Result = Json::object();
  Result["header"] = header();
  setNumber(Result, "ID", Lease);
  setNumber(Result, "TTL", m_Store.keepAlive(Lease, Now).count());
  auto Stream = Json::object();
  Stream["result"] = Result;
  return {.m_Body = Stream};
}

auto EtcdGateway::revokeLease(const Json &Body) -> Answer {
  if (!m_Store.revokeLease(numberField(Body, "ID", "ID"))) {
    return leaseNotFound();
  }
  auto Result = Json::object();
  Result["header"] = header();
  return {.m_Body = Result};
}

} // namespace geraniumlift::standin
