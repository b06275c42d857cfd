#pragma once

#include "base/systemclock.h"
#include "targets/httptargetclient.h"
#include "targets/tests/recorders.h"

#include <future>
#include <memory>
#include <string>

namespace geraniumlift::targets {

/// A client with a progress timeout of 1.5 s, and helpers that send requests.
struct ClientFixture {
  base::SystemClock m_Clock;
  CountingMetrics m_Metrics;
  HttpTargetClient m_Client{{.m_ProgressTimeout = std::chrono::milliseconds{1500},
                             .m_MaxResponseBytes = std::size_t{4} * 1024 * 1024},
                            m_Clock,
                            m_Metrics};

  auto stream(const std::string &Url, const std::string &Body,
              const std::shared_ptr<RecordingObserver> &Observer)
      -> std::shared_ptr<IEngineStream> {
    auto Request = StreamRequest();
    Request.m_RequestId = "ws/key 1";
    Request.m_Url = Url;
    Request.m_Body = Body;
    Request.m_Deadline = m_Clock.steadyNow() + WaitLimit;
    return m_Client.startStream(Request, Observer);
  }

  auto call(const std::string &Url, const std::string &Method, bool Idempotent,
            std::chrono::milliseconds Deadline = WaitLimit) -> ServiceResult {
    return startCall(Url, Method, Idempotent, Method == "POST" ? "{}" : "", Deadline).get();
  }

  auto startCall(const std::string &Url, const std::string &Method, bool Idempotent,
                 const std::string &Body, std::chrono::milliseconds Deadline = WaitLimit)
      -> std::future<ServiceResult> {
    auto Request = ServiceRequest();
    Request.m_Url = Url;
    Request.m_Method = Method;
    Request.m_Path = "/book?x=1";
    Request.m_ContentType = "application/json";
    Request.m_Body = Body;
    Request.m_IdempotencyKey = "k1";
    Request.m_TraceParent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    Request.m_Deadline = m_Clock.steadyNow() + Deadline;
    Request.m_Idempotent = Idempotent;
    auto Result = std::make_shared<std::promise<ServiceResult>>();
    auto Future = Result->get_future();
    m_Client.callService(Request, [Result](const ServiceResult &Done) { Result->set_value(Done); });
    return Future;
  }
};

} // namespace geraniumlift::targets
