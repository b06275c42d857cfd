#include "jsonhttpclient.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cpprest/producerconsumerstream.h>
#include <mutex>
#include <pplx/threadpool.h>
#include <stdexcept>
#include <unordered_set>
#include <utility>

namespace geraniumlift::keyvalue {

namespace {

using web::http::client::http_client;
using Json = web::json::value;

/// Disables Nagle's algorithm, which delays a request's body until the header is acknowledged.
auto disableNagle(web::http::client::native_handle Handle) -> void {
  auto Ignored = boost::system::error_code();
  static_cast<boost::asio::ip::tcp::socket *>(Handle)->set_option(
      boost::asio::ip::tcp::no_delay(true), Ignored);
}

/// The status for a response other than 200. The code in a body from etcd's gateway takes
/// precedence: it is a gRPC code, which has the same number as the absl code.
auto statusFromResponse(std::int64_t HttpStatus, const std::string &Body) -> absl::Status {
  auto Code = absl::StatusCode::kUnavailable;
  if (HttpStatus == web::http::status_codes::NotFound) {
    Code = absl::StatusCode::kNotFound;
  } else if (HttpStatus == web::http::status_codes::TooManyRequests) {
    Code = absl::StatusCode::kResourceExhausted;
  } else if (HttpStatus < web::http::status_codes::InternalError) {
    Code = absl::StatusCode::kInvalidArgument;
  }
  auto Error = std::error_code();
  const auto Parsed = Json::parse(Body, Error);
  if (!Error && Parsed.is_object() && Parsed.has_integer_field("code")) {
    const auto GrpcCode = Parsed.at("code").as_number().to_int32();
    const auto IsKnown = GrpcCode > static_cast<int>(absl::StatusCode::kOk) &&
                         GrpcCode <= static_cast<int>(absl::StatusCode::kUnauthenticated);
    Code = IsKnown ? static_cast<absl::StatusCode>(GrpcCode) : Code;
  }
  return {Code, "the service answered " + std::to_string(HttpStatus)};
}

auto readBody(const web::http::http_response &Response) -> pplx::task<absl::StatusOr<Json>> {
  return Response.extract_string(true).then(
      [Status = Response.status_code()](const std::string &Body) -> absl::StatusOr<Json> {
        if (Status != web::http::status_codes::OK) {
          return statusFromResponse(Status, Body);
        }
        return Json::parse(Body);
      });
}

/// The task's result, with exceptions of the library converted to a status.
auto resultFromTask(const pplx::task<absl::StatusOr<Json>> &Task) -> absl::StatusOr<Json> {
  try {
    return Task.get();
  } catch (const web::json::json_exception &Exception) {
    return absl::InternalError(Exception.what());
  } catch (const std::exception &Exception) {
    return absl::UnavailableError(Exception.what());
  }
}

} // namespace

/// One request. Ends with a response, the deadline or cancellation, whichever comes first.
class JsonHttpClient::Call : public std::enable_shared_from_this<Call> {
public:
  explicit Call(Callback Done)
      : m_Done(std::move(Done)), m_Timer(crossplat::threadpool::shared_instance().service()) {}

  auto token() -> pplx::cancellation_token { return m_Cancellation.get_token(); }

  /// Calls the function at the deadline unless the call has ended by then.
  auto startTimer(std::chrono::milliseconds Timeout, std::function<void()> OnDeadline) -> void {
    m_Timer.expires_after(Timeout);
    m_Timer.async_wait([Self = shared_from_this(),
                        Run = std::move(OnDeadline)](const boost::system::error_code &Error) {
      if (!Error) {
        Run();
      }
    });
  }

  /// Runs the callback if the call has not ended yet; returns whether it did.
  auto finish(absl::StatusOr<Json> Result) -> bool {
    if (m_IsFinished.exchange(true)) {
      return false;
    }
    m_Done(std::move(Result));
    m_Done = nullptr;
    return true;
  }

  /// Called once, by the code that ended the call before the deadline.
  auto stopTimer() -> void {
    boost::asio::post(m_Timer.get_executor(),
                      [Self = shared_from_this()] { Self->m_Timer.cancel(); });
  }

  /// Closes the connection if the request is still in progress.
  auto cancelRequest() -> void { m_Cancellation.cancel(); }

private:
  Callback m_Done;
  std::atomic<bool> m_IsFinished{false};
  pplx::cancellation_token_source m_Cancellation;
  boost::asio::steady_timer m_Timer;
};

/// State shared with requests in progress, which may outlive the JsonHttpClient.
struct JsonHttpClient::State {
  explicit State(PlatformEndpoint Endpoint) : m_Endpoint(std::move(Endpoint)) {
    if (m_Endpoint.m_BaseUrls.empty()) {
      throw std::invalid_argument("no base URL of the platform");
    }
    replaceClient();
  }

  /// Drops the client with its pooled connections and creates one for the next base URL.
  auto replaceClient() -> void {
    auto Configuration = web::http::client::http_client_config();
    Configuration.set_timeout(m_Endpoint.m_CallTimeout);
    Configuration.set_max_redirects(0); // A followed redirect would repeat the call.
    Configuration.set_nativehandle_options(disableNagle);
    const auto &Url = m_Endpoint.m_BaseUrls[m_NextUrl++ % m_Endpoint.m_BaseUrls.size()];
    m_Client = std::make_shared<http_client>(Url, Configuration);
  }

  /// Replaces the client unless another call has already done so.
  auto replaceClient(const std::shared_ptr<http_client> &Failed) -> void {
    const auto Lock = std::scoped_lock(m_Mutex);
    if (m_Client == Failed) {
      replaceClient();
    }
  }

  auto addCall(const std::shared_ptr<Call> &Started) -> std::shared_ptr<http_client> {
    const auto Lock = std::scoped_lock(m_Mutex);
    m_OpenCalls.insert(Started);
    return m_Client;
  }

  auto removeCall(const std::shared_ptr<Call> &Ended) -> void {
    const auto Lock = std::scoped_lock(m_Mutex);
    m_OpenCalls.erase(Ended);
  }

  const PlatformEndpoint m_Endpoint;
  std::mutex m_Mutex;
  std::size_t m_NextUrl = 0;
  std::shared_ptr<http_client> m_Client;
  std::unordered_set<std::shared_ptr<Call>> m_OpenCalls;
};

JsonHttpClient::JsonHttpClient(PlatformEndpoint Endpoint)
    : m_State(std::make_shared<State>(std::move(Endpoint))) {}

JsonHttpClient::~JsonHttpClient() {
  auto OpenCalls = std::unordered_set<std::shared_ptr<Call>>();
  {
    const auto Lock = std::scoped_lock(m_State->m_Mutex);
    OpenCalls = std::exchange(m_State->m_OpenCalls, {});
  }
  for (const auto &Call : OpenCalls) {
    if (Call->finish(absl::CancelledError("the client is closed"))) {
      Call->stopTimer();
      Call->cancelRequest();
    }
  }
}

auto JsonHttpClient::get(const std::string &Path, Callback Done) -> void {
  auto Request = web::http::http_request(web::http::methods::GET);
  Request.set_request_uri(Path);
  send(Request, std::move(Done));
}

auto JsonHttpClient::post(const std::string &Path, const Json &Body, Callback Done) -> void {
  auto Request = web::http::http_request(web::http::methods::POST);
  Request.set_request_uri(Path);
  const auto Text = Body.serialize();
  // The library sends a request again if a pooled connection closes before the response, even if
  // the server has applied it. It cannot do so if the body is a stream that cannot be rewound.
  auto Buffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>();
  // The buffer copies the bytes before the call returns, so the task need not be awaited. Waiting
  // would block a thread of the library's pool if a callback sends the next request; with enough
  // such callbacks, all threads of the pool would be blocked.
  Buffer.putn_nocopy(reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size());
  Request.set_body(Buffer.create_istream(), Text.size(), "application/json");
  send(Request, std::move(Done));
}

auto JsonHttpClient::send(const web::http::http_request &Request, Callback Done) -> void {
  const auto Started = std::make_shared<Call>(std::move(Done));
  const auto SharedState = m_State;
  const auto Client = SharedState->addCall(Started);
  Started->startTimer(SharedState->m_Endpoint.m_CallTimeout, [SharedState, Client, Started] {
    SharedState->replaceClient(Client);
    SharedState->removeCall(Started);
    Started->finish(absl::DeadlineExceededError("no answer within the call timeout"));
    Started->cancelRequest();
  });
  Client->request(Request, Started->token())
      .then(readBody)
      .then([SharedState, Client, Started](const pplx::task<absl::StatusOr<Json>> &Task) {
        auto Result = resultFromTask(Task);
        if (absl::IsUnavailable(Result.status())) {
          SharedState->replaceClient(Client);
        }
        SharedState->removeCall(Started);
        if (Started->finish(std::move(Result))) {
          Started->stopTimer();
        }
      });
}

} // namespace geraniumlift::keyvalue
