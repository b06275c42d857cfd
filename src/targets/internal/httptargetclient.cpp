#include "targets/httptargetclient.h"

#include "targets/internal/enginestream.h"
#include "targets/internal/jsonfields.h"
#include "targets/internal/servicecall.h"
#include "targets/internal/targetcontext.h"

#include <future>
#include <set>
#include <utility>

namespace geraniumlift::targets {

namespace {

/// Maximum number of pooled clients, one per base URL. Entries of removed targets may stay
/// until the pool is cleared at this size. The fleet has 790 targets at the expected size.
constexpr std::size_t MaxPooledUrls = 2048;

/// Handle returned by startStream. Keeps neither the stream nor the scheduler alive.
class StreamHandle final : public IEngineStream {
public:
  StreamHandle(std::weak_ptr<EngineStream> Stream, std::weak_ptr<base::AsioScheduler> Scheduler)
      : m_Stream(std::move(Stream)), m_Scheduler(std::move(Scheduler)) {}

  auto cancel() -> void override {
    const auto Scheduler = m_Scheduler.lock();
    if (!Scheduler) {
      return;
    }
    Scheduler->post([Weak = m_Stream] {
      if (const auto Stream = Weak.lock()) {
        Stream->cancel();
      }
    });
  }

private:
  std::weak_ptr<EngineStream> m_Stream;
  std::weak_ptr<base::AsioScheduler> m_Scheduler;
};

} // namespace

/// Owns the open streams and calls. All but the constructor, the destructor, startStream,
/// callService and post runs on the scheduler's thread.
class HttpTargetClient::Implementation {
public:
  Implementation(HttpTargetOptions Options, const base::IClock &Clock, telemetry::IMetrics &Metrics)
      : m_Buffers(Options.m_MaxResponseBytes), m_Context{Options, Clock, Metrics,
                                                         std::make_shared<base::AsioScheduler>(),
                                                         m_Buffers} {}

  ~Implementation() {
    auto Cleared = std::promise<void>();
    post([this, &Cleared] {
      m_Streams.clear();
      m_Calls.clear();
      m_PooledClients.clear();
      *m_Closed = true;
      Cleared.set_value();
    });
    Cleared.get_future().wait();
  }

  auto startStream(StreamRequest Request, std::shared_ptr<IStreamObserver> Observer)
      -> std::shared_ptr<IEngineStream> {
    auto Stream =
        std::make_shared<EngineStream>(m_Context, std::move(Request), std::move(Observer));
    auto Handle = std::make_shared<StreamHandle>(Stream, m_Context.m_Scheduler);
    post([this, Stream] {
      m_Streams.insert(Stream);
      Stream->start([this, Weak = std::weak_ptr(Stream)] { removeStream(Weak); });
    });
    return Handle;
  }

  auto callService(ServiceRequest Request, std::function<void(ServiceResult)> Done) -> void {
    post([this, Moved = std::move(Request), Reply = std::move(Done)] { startCall(Moved, Reply); });
  }

private:
  /// Runs a function on the scheduler's thread unless this object has been destroyed by then.
  auto post(std::function<void()> Function) -> void {
    m_Context.m_Scheduler->post([Closed = m_Closed, Run = std::move(Function)] {
      if (!*Closed) {
        Run();
      }
    });
  }

  auto startCall(const ServiceRequest &Request, const std::function<void(ServiceResult)> &Done)
      -> void {
    const auto Client = clientFor(Request);
    if (!Client.ok()) {
      Done({.m_Verdict = base::Verdict::DidNotRun,
            .m_Status = 0,
            .m_ContentType = "",
            .m_Body = "",
            .m_TargetLeaving = false,
            .m_Detail = std::string(Client.status().message())});
      return;
    }
    const auto WeakCall = std::make_shared<std::weak_ptr<ServiceCall>>();
    const auto Call = std::make_shared<ServiceCall>(
        m_Context, Request,
        [this, WeakCall, Done, Url = Request.m_Url, Used = *Client](ServiceResult Result) {
          if (Result.m_Status == 0) {
            dropPooledClient(Url, Used);
          }
          post([this, Ended = WeakCall->lock()] { m_Calls.erase(Ended); });
          Done(std::move(Result));
        });
    *WeakCall = Call;
    m_Calls.insert(Call);
    Call->start(*Client);
  }

  auto clientFor(const ServiceRequest &Request) -> absl::StatusOr<std::shared_ptr<HttpClient>> {
    try {
      if (!Request.m_Idempotent) {
        return makeHttpClient(Request.m_Url, m_Context.m_Options.m_ConnectTimeout);
      }
      if (m_PooledClients.size() >= MaxPooledUrls) {
        m_PooledClients.clear();
      }
      auto &Pooled = m_PooledClients[Request.m_Url];
      if (!Pooled) {
        Pooled = makeHttpClient(Request.m_Url, m_Context.m_Options.m_ConnectTimeout);
      }
      return Pooled;
    } catch (const std::exception &Error) {
      m_PooledClients.erase(Request.m_Url);
      return absl::InvalidArgumentError(Error.what());
    }
  }

  /// Removes a client from the pool after a failure; the next call opens a fresh connection.
  auto dropPooledClient(const std::string &Url, const std::shared_ptr<HttpClient> &Failed) -> void {
    const auto Found = m_PooledClients.find(Url);
    if (Found != m_PooledClients.end() && Found->second == Failed) {
      m_PooledClients.erase(Found);
    }
  }

  /// Removes a stream that has ended. Posted, as the stream's own code is still running when it
  /// reports its end.
  auto removeStream(const std::weak_ptr<EngineStream> &Weak) -> void {
    post([this, Weak] { m_Streams.erase(Weak.lock()); });
  }

  base::BufferLimit m_Buffers;
  TargetContext m_Context;
  std::set<std::shared_ptr<EngineStream>> m_Streams;
  std::set<std::shared_ptr<ServiceCall>> m_Calls;
  std::map<std::string, std::shared_ptr<HttpClient>> m_PooledClients;

  /// Read and written on the scheduler's thread. Shared with posted functions, as a caller's handle
  /// can keep the scheduler running for a moment after this object is destroyed.
  std::shared_ptr<bool> m_Closed = std::make_shared<bool>(false);
};

HttpTargetClient::HttpTargetClient(HttpTargetOptions Options, const base::IClock &Clock,
                                   telemetry::IMetrics &Metrics)
    : m_Options(Options), m_Clock(Clock),
      m_Implementation(std::make_unique<Implementation>(Options, Clock, Metrics)) {}

HttpTargetClient::~HttpTargetClient() = default;

auto HttpTargetClient::startStream(StreamRequest Request, std::shared_ptr<IStreamObserver> Observer)
    -> std::shared_ptr<IEngineStream> {
  return m_Implementation->startStream(std::move(Request), std::move(Observer));
}

auto HttpTargetClient::callService(ServiceRequest Request, std::function<void(ServiceResult)> Done)
    -> void {
  m_Implementation->callService(std::move(Request), std::move(Done));
}

auto HttpTargetClient::readLoad(std::string Url,
                                std::function<void(absl::StatusOr<EngineLoad>)> Done) -> void {
  auto Request = ServiceRequest();
  Request.m_Url = std::move(Url);
  Request.m_Method = "GET";
  Request.m_Path = "/load";
  Request.m_Deadline = m_Clock.steadyNow() + m_Options.m_ControlTimeout;
  Request.m_Idempotent = true;
  callService(std::move(Request), [Reply = std::move(Done)](const ServiceResult &Result) {
    if (Result.m_Status != 200) {
      Reply(absl::UnavailableError("The engine gave no load report. " + Result.m_Detail));
      return;
    }
    Reply(parseEngineLoad(Result.m_Body));
  });
}

} // namespace geraniumlift::targets
