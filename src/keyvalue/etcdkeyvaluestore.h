#pragma once

#include "keyvalue/callcounter.h"
#include "keyvalue/endpoint.h"
#include "keyvalue/ikeyvaluestore.h"

#include <memory>
#include <vector>

namespace geraniumlift::keyvalue {

class JsonHttpClient;

/// The key-value service over etcd v3's JSON gateway. Thread-safe. Callbacks run on the HTTP
/// library's threads; the destructor ends open calls with Cancelled.
///
/// Failed calls have the status Unavailable (no connection, a broken connection, or a server that
/// reports it), DeadlineExceeded, Internal (malformed response), or the code that the server
/// returned. No call is retried.
class EtcdKeyValueStore final : public IKeyValueStore {
public:
  explicit EtcdKeyValueStore(PlatformEndpoint Endpoint);
  ~EtcdKeyValueStore() override;

  auto read(std::string Key, ReadCallback Done) -> void override;
  auto list(std::string Prefix, ListCallback Done) -> void override;
  auto compareAndSwap(CompareAndSwap Request, WriteCallback Done) -> void override;
  auto compareAndErase(std::string Key, std::int64_t ExpectedModRevision, WriteCallback Done)
      -> void override;
  auto grantLease(std::chrono::seconds TimeToLive, LeaseCallback Done) -> void override;
  auto keepAlive(LeaseId Lease, StatusCallback Done) -> void override;
  auto revokeLease(LeaseId Lease, StatusCallback Done) -> void override;

  /// Calls sent so far by kind.
  [[nodiscard]] auto counts() const -> std::vector<CallCount> { return m_Counter.counts(); }

private:
  CallCounter m_Counter;
  std::unique_ptr<JsonHttpClient> m_Client;
};

} // namespace geraniumlift::keyvalue
