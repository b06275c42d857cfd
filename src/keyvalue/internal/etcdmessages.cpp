#include "etcdmessages.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <stdexcept>

namespace geraniumlift::keyvalue {

namespace {

using Json = web::json::value;

auto encodeBytes(const std::string &Bytes) -> Json {
  return Json::string(absl::Base64Escape(Bytes));
}

/// The gateway transmits 64-bit numbers as strings.
auto encodeNumber(std::int64_t Number) -> Json { return Json::string(std::to_string(Number)); }

/// The gateway leaves out fields with a zero value.
auto decodeNumber(const Json &Body, const char *Name) -> std::int64_t {
  if (!Body.has_field(Name)) {
    return 0;
  }
  auto Number = std::int64_t{0};
  if (!absl::SimpleAtoi(Body.at(Name).as_string(), &Number)) {
    throw std::invalid_argument(std::string("not a number: ") + Name);
  }
  return Number;
}

auto decodeBytes(const Json &Body, const char *Name) -> std::string {
  auto Bytes = std::string();
  if (Body.has_field(Name) && !absl::Base64Unescape(Body.at(Name).as_string(), &Bytes)) {
    throw std::invalid_argument(std::string("not base64: ") + Name);
  }
  return Bytes;
}

/// The first key after all keys with the prefix, as the end of a range. If there is none, returns
/// "\0", which stands for an unbounded range.
auto prefixRangeEnd(std::string Prefix) -> std::string {
  while (!Prefix.empty() && static_cast<unsigned char>(Prefix.back()) == 0xff) {
    Prefix.pop_back();
  }
  if (Prefix.empty()) {
    return {1, '\0'};
  }
  Prefix.back() = static_cast<char>(static_cast<unsigned char>(Prefix.back()) + 1);
  return Prefix;
}

/// Transaction that runs the operation if the key was last written at the expected revision, and
/// reads the key otherwise.
auto compareTransaction(const std::string &Key, std::int64_t ExpectedModRevision,
                        const Json &Success) -> Json {
  auto Compare = Json::object();
  Compare["key"] = encodeBytes(Key);
  Compare["target"] = Json::string("MOD");
  Compare["result"] = Json::string("EQUAL");
  Compare["mod_revision"] = encodeNumber(ExpectedModRevision);
  auto Failure = Json::object();
  Failure["request_range"] = readRequest(Key);
  auto Body = Json::object();
  Body["compare"] = Json::array({Compare});
  Body["success"] = Json::array({Success});
  Body["failure"] = Json::array({Failure});
  return Body;
}

} // namespace

auto readRequest(const std::string &Key) -> Json {
  auto Body = Json::object();
  Body["key"] = encodeBytes(Key);
  return Body;
}

auto listRequest(const std::string &Prefix) -> Json {
  auto Body = Json::object();
  Body["key"] = encodeBytes(Prefix.empty() ? std::string(1, '\0') : Prefix);
  Body["range_end"] = encodeBytes(prefixRangeEnd(Prefix));
  return Body;
}

auto swapRequest(const CompareAndSwap &Request) -> Json {
  auto Put = Json::object();
  Put["key"] = encodeBytes(Request.m_Key);
  Put["value"] = encodeBytes(Request.m_Value);
  if (Request.m_Lease) {
    Put["lease"] = encodeNumber(*Request.m_Lease);
  }
  auto Success = Json::object();
  Success["request_put"] = Put;
  return compareTransaction(Request.m_Key, Request.m_ExpectedModRevision, Success);
}

auto eraseRequest(const std::string &Key, std::int64_t ExpectedModRevision) -> Json {
  auto Success = Json::object();
  Success["request_delete_range"] = readRequest(Key);
  return compareTransaction(Key, ExpectedModRevision, Success);
}

auto grantRequest(std::int64_t TimeToLiveSeconds) -> Json {
  auto Body = Json::object();
  Body["TTL"] = encodeNumber(TimeToLiveSeconds);
  return Body;
}

auto leaseRequest(LeaseId Lease) -> Json {
  auto Body = Json::object();
  Body["ID"] = encodeNumber(Lease);
  return Body;
}

auto decodeKeyValues(const Json &Range) -> std::vector<KeyValue> {
  auto Entries = std::vector<KeyValue>();
  if (!Range.has_field("kvs")) {
    return Entries;
  }
  for (const auto &Entry : Range.at("kvs").as_array()) {
    Entries.push_back({decodeBytes(Entry, "key"), decodeBytes(Entry, "value"),
                       decodeNumber(Entry, "create_revision"),
                       decodeNumber(Entry, "mod_revision")});
  }
  return Entries;
}

auto decodeWrite(const Json &Response) -> WriteResult {
  if (Response.has_field("succeeded") && Response.at("succeeded").as_bool()) {
    return {.m_Outcome = WriteOutcome::Applied,
            .m_ModRevision = decodeNumber(Response.at("header"), "revision")};
  }
  auto Result = WriteResult{.m_Outcome = WriteOutcome::Conflict};
  const auto Entries = decodeKeyValues(Response.at("responses").at(0).at("response_range"));
  if (!Entries.empty()) {
    Result.m_Current = Entries.front();
  }
  return Result;
}

auto decodeGrant(const Json &Response) -> LeaseId {
  const auto Lease = decodeNumber(Response, "ID");
  if (Lease == 0) {
    throw std::invalid_argument("a lease without a number");
  }
  return Lease;
}

auto decodeKeepAlive(const Json &Response) -> std::int64_t {
  return decodeNumber(Response.at("result"), "TTL");
}

} // namespace geraniumlift::keyvalue
