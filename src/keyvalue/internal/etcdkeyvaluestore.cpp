#include "keyvalue/etcdkeyvaluestore.h"

#include "etcdmessages.h"
#include "jsonhttpclient.h"

#include <utility>

namespace geraniumlift::keyvalue {

namespace {

using JsonResult = absl::StatusOr<web::json::value>;

/// Decodes a successful response. Returns Internal for a malformed one.
template <typename Decoder>
auto decode(const JsonResult &Response, Decoder Decode)
    -> absl::StatusOr<decltype(Decode(*Response))> {
  if (!Response.ok()) {
    return Response.status();
  }
  try {
    return Decode(*Response);
  } catch (const std::exception &Exception) {
    return absl::InternalError(Exception.what());
  }
}

auto firstEntry(const std::vector<KeyValue> &Entries) -> std::optional<KeyValue> {
  return Entries.empty() ? std::nullopt : std::optional(Entries.front());
}

auto completeWrite(const JsonResult &Response, const IKeyValueStore::WriteCallback &Done) -> void {
  auto Result = decode(Response, decodeWrite);
  Done(Result.ok() ? *std::move(Result) : WriteResult{.m_Status = Result.status()});
}

} // namespace

EtcdKeyValueStore::EtcdKeyValueStore(PlatformEndpoint Endpoint)
    : m_Client(std::make_unique<JsonHttpClient>(std::move(Endpoint))) {}

EtcdKeyValueStore::~EtcdKeyValueStore() = default;

auto EtcdKeyValueStore::read(std::string Key, ReadCallback Done) -> void {
  m_Counter.add(CallKind::Read);
  m_Client->post("/v3/kv/range", readRequest(Key),
                 [Done = std::move(Done)](const JsonResult &Response) {
                   const auto Entries = decode(Response, decodeKeyValues);
                   if (!Entries.ok()) {
                     return Done(Entries.status());
                   }
                   Done(firstEntry(*Entries));
                 });
}

auto EtcdKeyValueStore::list(std::string Prefix, ListCallback Done) -> void {
  m_Counter.add(CallKind::Read);
  m_Client->post("/v3/kv/range", listRequest(Prefix),
                 [Done = std::move(Done)](const JsonResult &Response) {
                   Done(decode(Response, decodeKeyValues));
                 });
}

auto EtcdKeyValueStore::compareAndSwap(CompareAndSwap Request, WriteCallback Done) -> void {
  m_Counter.add(CallKind::Write);
  m_Client->post(
      "/v3/kv/txn", swapRequest(Request),
      [Done = std::move(Done)](const JsonResult &Response) { completeWrite(Response, Done); });
}

auto EtcdKeyValueStore::compareAndErase(std::string Key, std::int64_t ExpectedModRevision,
                                        WriteCallback Done) -> void {
  m_Counter.add(CallKind::Write);
  m_Client->post(
      "/v3/kv/txn", eraseRequest(Key, ExpectedModRevision),
      [Done = std::move(Done)](const JsonResult &Response) { completeWrite(Response, Done); });
}

auto EtcdKeyValueStore::grantLease(std::chrono::seconds TimeToLive, LeaseCallback Done) -> void {
  m_Counter.add(CallKind::Lease);
  m_Client->post("/v3/lease/grant", grantRequest(TimeToLive.count()),
                 [Done = std::move(Done)](const JsonResult &Response) {
                   Done(decode(Response, decodeGrant));
                 });
}

auto EtcdKeyValueStore::keepAlive(LeaseId Lease, StatusCallback Done) -> void {
  m_Counter.add(CallKind::Lease);
  m_Client->post("/v3/lease/keepalive", leaseRequest(Lease),
                 [Done = std::move(Done)](const JsonResult &Response) {
                   const auto TimeToLive = decode(Response, decodeKeepAlive);
                   if (TimeToLive.ok() && *TimeToLive == 0) {
                     return Done(absl::NotFoundError("the lease has ended"));
                   }
                   Done(TimeToLive.status());
                 });
}

auto EtcdKeyValueStore::revokeLease(LeaseId Lease, StatusCallback Done) -> void {
  m_Counter.add(CallKind::Lease);
  m_Client->post("/v3/lease/revoke", leaseRequest(Lease),
                 [Done = std::move(Done)](const JsonResult &Response) { Done(Response.status()); });
}

} // namespace geraniumlift::keyvalue
