#pragma once

#include "revisionstore.h"

#include <cpprest/json.h>
#include <string>

namespace geraniumlift::standin {

/// An HTTP answer with a JSON body.
struct Answer {
  std::int64_t m_Status = 200;
  web::json::value m_Body;
};

/// etcd v3's JSON gateway over a store: keys and values in base64, 64-bit numbers as strings,
/// fields with a zero value left out. Not thread-safe.
class EtcdGateway {
public:
  /// Carries out one call. Stale reads give the previous value of each key.
  auto call(const std::string &Path, const web::json::value &Body, bool Stale, base::SteadyTime Now)
      -> Answer;

private:
  using Json = web::json::value;

  auto range(const Json &Body, bool Stale) -> Answer;
  auto put(const Json &Body) -> Answer;
  auto transaction(const Json &Body) -> Answer;
  auto grantLease(const Json &Body, base::SteadyTime Now) -> Answer;
  auto keepAlive(const Json &Body, base::SteadyTime Now) -> Answer;
  auto revokeLease(const Json &Body) -> Answer;

  [[nodiscard]] auto header() const -> Json;
  [[nodiscard]] auto rangeBody(const Json &Request, bool Stale) const -> Json;
  [[nodiscard]] auto compareHolds(const Json &Compare) const -> bool;

  /// Checks a put without carrying it out; status 200 if it may go on.
  [[nodiscard]] auto checkPut(const Json &Request) const -> Answer;
  auto applyPut(const Json &Request) -> void;
  auto applyOperation(const Json &Operation) -> Json;

  RevisionStore m_Store;
};

} // namespace geraniumlift::standin
