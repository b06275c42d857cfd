#include "standins/engine/engine.h"

#include "base/hashing.h"
#include "standins/engine/eventformat.h"

#include <algorithm>
#include <utility>

namespace geraniumlift::standins {

namespace {

/// How long a finished request can still be resumed.
constexpr auto Retention = std::chrono::seconds{60};

/// A connection without events gets a comment after this time, so that a receiver can tell a long
/// wait from a dead connection.
constexpr auto KeepAliveInterval = std::chrono::milliseconds{500};

auto tokensOf(const EngineRequest &Request) -> std::uint64_t {
  const auto Limit = std::max<std::uint64_t>(Request.m_MaxTokens, 1);
  const auto Wanted = Request.m_WantedTokens.value_or(base::hash64(Request.m_Id) % Limit + 1);
  return std::clamp<std::uint64_t>(Wanted, 1, Limit);
}

} // namespace

Engine::Engine(EngineOptions Options, base::IScheduler &Scheduler, const base::IClock &Clock)
    : m_Options(std::move(Options)), m_Scheduler(Scheduler), m_Clock(Clock) {
  m_LoadSamples.push_back({m_Clock.steadyNow(), 0, 0});
  m_Scheduler.after(KeepAliveInterval, [this] { sendKeepAlives(); });
}

auto Engine::submit(const EngineRequest &Request, std::shared_ptr<IEventSink> Sink) -> Admission {
  if (m_Leaving) {
    return Admission::Leaving;
  }
  if (m_Refuse) {
    return Admission::Refused;
  }
  auto Added = std::make_shared<Generation>();
  Added->m_Request = Request;
  Added->m_TotalTokens = tokensOf(Request);
  Added->m_Attachments.push_back({std::move(Sink), 0, 0, false, m_Clock.steadyNow()});
  m_Generations[Request.m_Id] = Added;
  m_Waiting.push_back(Added);
  m_Counts.m_ById[Request.m_Id] += 1;
  m_Counts.m_Total += 1;
  startWaiting();
  return Admission::Accepted;
}

auto Engine::resume(const std::string &Id, std::uint64_t Offset, std::shared_ptr<IEventSink> Sink)
    -> bool {
  const auto Found = m_Generations.find(Id);
  if (Found == m_Generations.end()) {
    return false;
  }
  m_Counts.m_Resumed += 1;
  auto &Source = *Found->second;
  Source.m_Attachments.push_back({std::move(Sink), Offset, 0, false, m_Clock.steadyNow()});
  sendPending(Source);
  return true;
}

auto Engine::cancel(const std::string &Id) -> bool {
  const auto Found = m_Generations.find(Id);
  if (Found == m_Generations.end() || Found->second->m_Over) {
    return false;
  }
  m_Counts.m_Cancelled += 1;
  const auto Cancelled = Found->second;
  m_Generations.erase(Found);
  std::erase(m_Waiting, Cancelled);
  finish(Cancelled);
  for (auto &Receiver : Cancelled->m_Attachments) {
    Receiver.m_Sink->close();
  }
  Cancelled->m_Attachments.clear();
  return true;
}

auto Engine::applyControl(const EngineControl &Control) -> void {
  if (Control.m_TimeToFirstTokenMs) {
    m_Options.m_TimeToFirstToken = std::chrono::milliseconds{*Control.m_TimeToFirstTokenMs};
  }
  if (Control.m_TimeBetweenTokensMs) {
    m_Options.m_TimeBetweenTokens = std::chrono::milliseconds{*Control.m_TimeBetweenTokensMs};
  }
  m_SlowFactor = Control.m_SlowFactor.value_or(m_SlowFactor);
  m_CutAfterEvents = Control.m_CutAfterEvents.value_or(m_CutAfterEvents);
  m_Crossed = Control.m_Crossed.value_or(m_Crossed);
  m_CrossedEvents = Control.m_CrossedEvents.value_or(m_CrossedEvents);
  m_Refuse = Control.m_Refuse.value_or(m_Refuse);
  m_Leaving = Control.m_Leaving.value_or(m_Leaving);
  if (!Control.m_SilenceOpenConnections) {
    return;
  }
  for (auto &[Id, Source] : m_Generations) {
    for (auto &Receiver : Source->m_Attachments) {
      Receiver.m_Silent = true;
    }
  }
}

auto Engine::takeOrder(std::int64_t Fencing, const std::string &Order) -> bool {
  if (m_Options.m_ChecksFencing && Fencing < m_Orders.m_Fencing) {
    m_Orders.m_Refused += 1;
    return false;
  }
  m_Orders.m_Fencing = Fencing;
  m_Orders.m_Order = Order;
  m_Orders.m_Accepted += 1;
  return true;
}

auto Engine::load() const -> EngineLoadReport {
  const auto Shown = m_Clock.steadyNow() - m_Options.m_LoadLag;
  auto Report = EngineLoadReport{0, 0, m_Options.m_LoadLag, m_Leaving};
  for (const auto &Sample : m_LoadSamples) {
    if (Sample.m_Since <= Shown) {
      Report.m_Running = Sample.m_Running;
      Report.m_Waiting = Sample.m_Waiting;
    }
  }
  return Report;
}

auto Engine::startWaiting() -> void {
  while (!m_Waiting.empty() && m_Running < m_Options.m_Slots) {
    const auto Next = m_Waiting.front();
    m_Waiting.pop_front();
    Next->m_Running = true;
    m_Running += 1;
    scheduleToken(Next, m_Options.m_TimeToFirstToken);
  }
  recordLoad();
}

auto Engine::scheduleToken(const GenerationPointer &Running, std::chrono::milliseconds Delay)
    -> void {
  const auto Scaled = std::chrono::duration<double, std::milli>(Delay) * m_SlowFactor;
  m_Scheduler.after(std::chrono::duration_cast<std::chrono::milliseconds>(Scaled),
                    [this, Running] { generateToken(Running); });
}

auto Engine::generateToken(const GenerationPointer &Running) -> void {
  if (Running->m_Over) {
    return;
  }
  Running->m_GeneratedTokens += 1;
  if (Running->m_GeneratedTokens < Running->m_TotalTokens) {
    sendPending(*Running);
    scheduleToken(Running, m_Options.m_TimeBetweenTokens);
    return;
  }
  finish(Running);
  sendPending(*Running);
  m_Scheduler.after(Retention, [this, Running] {
    const auto Found = m_Generations.find(Running->m_Request.m_Id);
    if (Found != m_Generations.end() && Found->second == Running) {
      m_Generations.erase(Found);
    }
  });
}

auto Engine::finish(const GenerationPointer &Ended) -> void {
  Ended->m_Over = true;
  if (Ended->m_Running) {
    Ended->m_Running = false;
    m_Running -= 1;
  }
  startWaiting();
}

auto Engine::sendPending(Generation &Source) -> void {
  std::erase_if(Source.m_Attachments, [this, &Source](auto &Receiver) {
    return !Receiver.m_Silent && !sendTo(Source, Receiver);
  });
}

auto Engine::sendTo(Generation &Source, Attachment &Receiver) -> bool {
  while (Receiver.m_NextOffset < Source.m_GeneratedTokens) {
    if (!Receiver.m_Sink->send(eventText(Source, Receiver.m_NextOffset))) {
      return false;
    }
    Receiver.m_LastSend = m_Clock.steadyNow();
    Receiver.m_NextOffset += 1;
    Receiver.m_SentEvents += 1;
    if (m_CutAfterEvents > 0 && Receiver.m_SentEvents >= m_CutAfterEvents) {
      Receiver.m_Sink->close();
      return false;
    }
  }
  if (!Source.m_Over) {
    return true;
  }
  Receiver.m_Sink->send("data: [DONE]\n\n");
  Receiver.m_Sink->close();
  return false;
}

auto Engine::eventText(const Generation &Source, std::uint64_t Offset) -> std::string {
  auto Id = Source.m_Request.m_Id;
  if (m_Crossed || m_CrossedEvents > 0) {
    m_CrossedEvents -= m_CrossedEvents > 0 ? 1 : 0;
    Id = "crossed-" + Id;
  }
  return formatServerSentEvent({Id, Offset, Source.m_TotalTokens, Source.m_Request.m_MaxTokens,
                                Source.m_Request.m_PromptTokens});
}

auto Engine::sendKeepAlives() -> void {
  const auto Oldest = m_Clock.steadyNow() - KeepAliveInterval;
  for (auto &[Id, Source] : m_Generations) {
    std::erase_if(Source->m_Attachments, [Oldest](auto &Receiver) {
      return !Receiver.m_Silent && Receiver.m_LastSend < Oldest &&
             !Receiver.m_Sink->send(": waiting\n\n");
    });
  }
  m_Scheduler.after(KeepAliveInterval, [this] { sendKeepAlives(); });
}

auto Engine::recordLoad() -> void {
  const auto Now = m_Clock.steadyNow();
  m_LoadSamples.push_back({Now, m_Running, m_Waiting.size()});
  while (m_LoadSamples.size() > 1 && m_LoadSamples[1].m_Since <= Now - m_Options.m_LoadLag) {
    m_LoadSamples.pop_front();
  }
}

} // namespace geraniumlift::standins
