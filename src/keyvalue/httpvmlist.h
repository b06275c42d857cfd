#pragma once

#include "keyvalue/callcounter.h"
#include "keyvalue/endpoint.h"
#include "keyvalue/ivmlist.h"

#include <memory>

namespace geraniumlift::keyvalue {

class JsonHttpClient;

/// The VM list over HTTP: GET /vms. Thread-safe. Callbacks run on the HTTP library's threads; the
/// destructor ends open calls with Cancelled.
class HttpVmList final : public IVmList {
public:
  explicit HttpVmList(PlatformEndpoint Endpoint);
  ~HttpVmList() override;

  auto read(Callback Done) -> void override;

  /// Calls sent so far by kind; all of them are reads.
  [[nodiscard]] auto counts() const -> std::vector<CallCount> { return m_Counter.counts(); }

private:
  CallCounter m_Counter;
  std::unique_ptr<JsonHttpClient> m_Client;
};

} // namespace geraniumlift::keyvalue
