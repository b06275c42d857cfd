#include "targets/internal/enginestream.h"

#include "targets/internal/urltext.h"

#include <fmt/format.h>
#include <utility>

namespace geraniumlift::targets {

namespace {

constexpr std::int64_t StatusOk = 200;
constexpr std::int64_t StatusNotFound = 404;

/// Delay before the second consecutive resumption; each further one waits this much longer.
constexpr auto ResumeDelayStep = std::chrono::milliseconds{100};

} // namespace

class EngineStream::ConnectionReceiver final : public IHttpReceiver {
public:
  explicit ConnectionReceiver(EngineStream &Owner) : m_Owner(Owner) {}

  auto onHead(const HttpResponseHead &Head) -> void override { m_Owner.onHead(Head); }
  auto onBytes(std::string_view Bytes) -> void override { m_Owner.onBytes(Bytes); }
  auto onEnd(const HttpEnd &End) -> void override { m_Owner.onConnectionEnd(End); }

private:
  EngineStream &m_Owner;
};

EngineStream::EngineStream(const TargetContext &Context, StreamRequest Request,
                           std::shared_ptr<IStreamObserver> Observer)
    : m_Context(Context), m_Request(std::move(Request)), m_Observer(std::move(Observer)),
      m_State(m_Request.m_RequestId), m_LastProgress(Context.m_Clock.steadyNow()) {}

EngineStream::~EngineStream() { closeConnection(); }

auto EngineStream::start(std::function<void()> OnEnded) -> void {
  m_OnEnded = std::move(OnEnded);
  if (timeLeft(m_Context.m_Clock, m_Request.m_Deadline).count() == 0) {
    end({.m_Verdict = base::Verdict::DidNotRun,
         .m_Detail = "The deadline passed before the request was sent."});
    return;
  }
  openConnection(completionRequest());
  if (!m_Ended) {
    scheduleProgressCheck();
  }
}

auto EngineStream::cancel() -> void {
  if (!m_Ended) {
    cancelAndEnd("The stream was cancelled.");
  }
}

auto EngineStream::onHead(const HttpResponseHead &Head) -> void {
  m_Head = Head;
  m_LastProgress = m_Context.m_Clock.steadyNow();
}

auto EngineStream::onBytes(std::string_view Bytes) -> void {
  if (m_Head->m_Status != StatusOk) {
    return;
  }
  const auto Events = m_Parser.feed(Bytes);
  if (Events.empty()) {
    // The bytes hold only comments or part of an event.
    m_LastProgress = m_Context.m_Clock.steadyNow();
  }
  for (const auto &Event : Events) {
    if (!handleEvent(Event)) {
      return;
    }
  }
  if (m_Parser.overflowed()) {
    resume("An event of the engine was too long.");
    return;
  }
  m_Context.m_Buffers.setHeld(*this, m_Parser.heldBytes());
}

auto EngineStream::dropBuffer() -> void {
  resume("The responses of all targets take too much memory.");
}

auto EngineStream::handleEvent(const SseEvent &Event) -> bool {
  switch (m_State.accept(Event)) {
  case EventDecision::Deliver:
    deliver(Event);
    return !m_Ended;
  case EventDecision::Repeat:
    return true;
  case EventDecision::Foreign:
    m_Context.m_Metrics.count("geraniumlift_targets_foreign_events_total");
    return true;
  case EventDecision::Gap:
    resume("The engine skipped an event.");
    return false;
  case EventDecision::EarlyEnd:
    resume("The engine ended the stream before its last event.");
    return false;
  case EventDecision::End:
    complete();
    return false;
  }
  return false;
}

auto EngineStream::deliver(const SseEvent &Event) -> void {
  m_LastProgress = m_Context.m_Clock.steadyNow();
  m_ResumptionsWithoutEvent = 0;
  m_Observer->onEvent({*Event.m_Id, Event.m_Data});
}

auto EngineStream::onConnectionEnd(const HttpEnd &End) -> void {
  if (!m_Head) {
    if (!m_IsResumption && End.m_Verdict == base::Verdict::DidNotRun) {
      end({.m_Verdict = End.m_Verdict, .m_Detail = End.m_Detail});
      return;
    }
    resume(End.m_Detail);
    return;
  }
  if (m_Head->m_Status != StatusOk) {
    handleErrorStatus(End);
    return;
  }
  if (m_State.isComplete()) {
    complete();
    return;
  }
  resume(End.m_Complete ? "The engine closed the stream early." : End.m_Detail);
}

auto EngineStream::handleErrorStatus(const HttpEnd &End) -> void {
  const auto Status = m_Head->m_Status;
  if (m_IsResumption && Status != StatusNotFound) {
    resume(fmt::format("The engine answered a resumption with status {}.", Status));
    return;
  }
  auto Verdict = End.m_Verdict;
  if (m_IsResumption) {
    Verdict = base::Verdict::MayHaveRun;
  }
  end({.m_Verdict = Verdict,
       .m_Status = Status,
       .m_TargetLeaving = m_Head->m_Leaving,
       .m_Detail = m_IsResumption ? "The engine no longer knows the request."
                                  : fmt::format("The engine answered with status {}.", Status)});
}

auto EngineStream::resume(const std::string &Reason) -> void {
  closeConnection();
  if (m_ResumptionsWithoutEvent >= m_Context.m_Options.m_ResumeAttempts) {
    cancelAndEnd(Reason);
    return;
  }
  m_Context.m_Metrics.count("geraniumlift_targets_stream_resumptions_total");
  const auto Delay = ResumeDelayStep * m_ResumptionsWithoutEvent;
  m_ResumptionsWithoutEvent += 1;
  m_LastProgress = m_Context.m_Clock.steadyNow() + Delay;
  m_Context.m_Scheduler->after(Delay, [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && !Self->m_Ended) {
      Self->openResumption();
    }
  });
}

auto EngineStream::openResumption() -> void {
  m_IsResumption = true;
  openConnection(resumptionRequest());
}

auto EngineStream::openConnection(const HttpRequest &Request) -> void {
  closeConnection();
  m_Parser = SseParser();
  m_Head.reset();
  m_Receiver = std::make_shared<ConnectionReceiver>(*this);
  try {
    if (!hasValidHeaders(Request)) {
      throw std::invalid_argument("A header contains a control character.");
    }
    const auto Client = makeHttpClient(m_Request.m_Url, m_Context.m_Options.m_ConnectTimeout);
    m_Exchange = HttpExchange::start(Client, Request, *m_Context.m_Scheduler, m_Receiver);
  } catch (const std::exception &Error) {
    end({.m_Verdict = m_IsResumption ? base::Verdict::MayHaveRun : base::Verdict::DidNotRun,
         .m_Detail = Error.what()});
  }
}

auto EngineStream::closeConnection() -> void {
  m_Context.m_Buffers.setHeld(*this, 0);
  m_Receiver.reset();
  if (m_Exchange) {
    m_Exchange->cancel();
    m_Exchange.reset();
  }
}

auto EngineStream::scheduleProgressCheck() -> void {
  const auto Next =
      std::min(m_LastProgress + m_Context.m_Options.m_ProgressTimeout, m_Request.m_Deadline);
  // timeLeft rounds down; one millisecond more keeps the check from running before that time.
  const auto Delay = timeLeft(m_Context.m_Clock, Next) + std::chrono::milliseconds{1};
  m_Context.m_Scheduler->after(Delay, [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && !Self->m_Ended) {
      Self->checkProgress();
    }
  });
}

auto EngineStream::checkProgress() -> void {
  const auto Now = m_Context.m_Clock.steadyNow();
  const auto IsSilent = Now - m_LastProgress >= m_Context.m_Options.m_ProgressTimeout;
  if (IsSilent && m_State.isComplete()) {
    complete();
    return;
  }
  if (Now >= m_Request.m_Deadline) {
    cancelAndEnd("The deadline passed before the stream was whole.");
    return;
  }
  if (IsSilent) {
    resume("The connection to the engine went silent.");
  }
  if (!m_Ended) {
    scheduleProgressCheck();
  }
}

auto EngineStream::complete() -> void {
  end({.m_Complete = true,
       .m_Verdict = base::Verdict::Ran,
       .m_Status = StatusOk,
       .m_Usage = m_State.usage(),
       .m_Detail = ""});
}

auto EngineStream::cancelAndEnd(const std::string &Detail) -> void {
  sendCancellation();
  end({.m_Verdict = base::Verdict::MayHaveRun,
       .m_Status = m_Head ? m_Head->m_Status : 0,
       .m_Detail = Detail});
}

auto EngineStream::end(StreamEnd End) -> void {
  m_Ended = true;
  closeConnection();
  m_Observer->onEnd(std::move(End));
  m_Observer.reset();
  m_OnEnded();
}

auto EngineStream::completionRequest() const -> HttpRequest {
  const auto Left = timeLeft(m_Context.m_Clock, m_Request.m_Deadline);
  auto Request = HttpRequest{.m_Url = m_Request.m_Url,
                             .m_Method = "POST",
                             .m_Path = "/v1/chat/completions",
                             .m_Headers = {{"X-Request-Id", m_Request.m_RequestId},
                                           {"X-Deadline-Ms", std::to_string(Left.count())},
                                           {"X-Priority", std::to_string(m_Request.m_Priority)}},
                             .m_ContentType = "application/json",
                             .m_Body = m_Request.m_Body};
  if (!m_Request.m_TraceParent.empty()) {
    Request.m_Headers.push_back({"traceparent", m_Request.m_TraceParent});
  }
  return Request;
}

auto EngineStream::resumptionRequest() const -> HttpRequest {
  return {.m_Url = m_Request.m_Url,
          .m_Method = "GET",
          .m_Path = fmt::format("/v1/requests/{}/stream?offset={}",
                                encodeSegment(m_Request.m_RequestId), m_State.nextOffset()),
          .m_Headers = {},
          .m_ContentType = "",
          .m_Body = ""};
}

auto EngineStream::sendCancellation() -> void {
  const auto Request = HttpRequest{.m_Url = m_Request.m_Url,
                                   .m_Method = "DELETE",
                                   .m_Path = "/v1/requests/" + encodeSegment(m_Request.m_RequestId),
                                   .m_Headers = {},
                                   .m_ContentType = "",
                                   .m_Body = ""};
  try {
    const auto Client = makeHttpClient(m_Request.m_Url, m_Context.m_Options.m_ConnectTimeout);
    const auto Exchange = HttpExchange::start(Client, Request, *m_Context.m_Scheduler, {});
    m_Context.m_Scheduler->after(m_Context.m_Options.m_ControlTimeout,
                                 [Exchange] { Exchange->cancel(); });
  } catch (const std::exception &) {
    m_Context.m_Metrics.count("geraniumlift_targets_cancel_failures_total");
  }
}

} // namespace geraniumlift::targets
