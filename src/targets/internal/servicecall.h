#pragma once

#include "targets/internal/httpexchange.h"
#include "targets/internal/targetcontext.h"
#include "targets/targettypes.h"

#include <functional>
#include <memory>

namespace geraniumlift::targets {

/// One call of a plain service on one connection. Used on the scheduler's thread only.
class ServiceCall final : public IHttpReceiver,
                          public std::enable_shared_from_this<ServiceCall>,
                          private base::IBufferHolder {
public:
  /// Largest response body in bytes. The call fails if the response is larger.
  static constexpr std::size_t MaxBodyBytes = std::size_t{1024} * 1024;

  /// Done is called once, with the result or the failure, unless the object is destroyed before.
  ServiceCall(const TargetContext &Context, ServiceRequest Request,
              std::function<void(ServiceResult)> Done);
  ~ServiceCall() override;

  /// Sends the request once.
  auto start(const std::shared_ptr<HttpClient> &Client) -> void;

  auto onHead(const HttpResponseHead &Head) -> void override;
  auto onBytes(std::string_view Bytes) -> void override;
  auto onEnd(const HttpEnd &End) -> void override;

private:
  auto dropBuffer() -> void override;
  auto fail(base::Verdict Verdict, const std::string &Detail) -> void;
  auto finish(ServiceResult Result) -> void;
  [[nodiscard]] auto httpRequest() const -> HttpRequest;

  const TargetContext &m_Context;
  ServiceRequest m_Request;
  std::function<void(ServiceResult)> m_Done;
  std::shared_ptr<HttpExchange> m_Exchange;
  HttpResponseHead m_Head;
  std::string m_Body;
};

} // namespace geraniumlift::targets
