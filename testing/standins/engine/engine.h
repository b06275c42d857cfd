#pragma once

#include "base/iclock.h"
#include "base/ischeduler.h"
#include "standins/engine/enginetypes.h"
#include "standins/engine/ieventsink.h"

#include <deque>
#include <memory>

namespace geraniumlift::standins {

/// Generates completions. All calls are made on the scheduler's thread.
class Engine {
public:
  Engine(EngineOptions Options, base::IScheduler &Scheduler, const base::IClock &Clock);

  /// Starts or queues a request and sends its events to the sink. The same ID again is a new
  /// execution.
  auto submit(const EngineRequest &Request, std::shared_ptr<IEventSink> Sink) -> Admission;

  /// Sends the events of a known request from an offset on. False if the request is unknown.
  auto resume(const std::string &Id, std::uint64_t Offset, std::shared_ptr<IEventSink> Sink)
      -> bool;

  /// Stops a request and ends its connections. False if the request is unknown or finished.
  auto cancel(const std::string &Id) -> bool;

  auto applyControl(const EngineControl &Control) -> void;

  /// Takes an order; false if its fencing number is too old.
  auto takeOrder(std::int64_t Fencing, const std::string &Order) -> bool;

  [[nodiscard]] auto load() const -> EngineLoadReport;
  [[nodiscard]] auto counts() const -> const EngineCounts & { return m_Counts; }
  [[nodiscard]] auto orders() const -> const OrderState & { return m_Orders; }
  [[nodiscard]] auto models() const -> const std::vector<std::string> & {
    return m_Options.m_Models;
  }

private:
  /// An open connection that receives the events of a generation.
  struct Attachment {
    std::shared_ptr<IEventSink> m_Sink;
    std::uint64_t m_NextOffset = 0;
    std::uint64_t m_SentEvents = 0;
    bool m_Silent = false;
    base::SteadyTime m_LastSend;
  };

  /// One execution of a request.
  struct Generation {
    EngineRequest m_Request;
    std::uint64_t m_TotalTokens = 0;
    std::uint64_t m_GeneratedTokens = 0;
    bool m_Running = false;
    bool m_Over = false;
    std::vector<Attachment> m_Attachments;
  };

  /// The load from a point in time on.
  struct LoadSample {
    base::SteadyTime m_Since;
    std::uint64_t m_Running = 0;
    std::uint64_t m_Waiting = 0;
  };

  using GenerationPointer = std::shared_ptr<Generation>;

  auto startWaiting() -> void;
  auto scheduleToken(const GenerationPointer &Running, std::chrono::milliseconds Delay) -> void;
  auto generateToken(const GenerationPointer &Running) -> void;
  auto finish(const GenerationPointer &Ended) -> void;
  auto sendPending(Generation &Source) -> void;
  auto sendTo(Generation &Source, Attachment &Receiver) -> bool;
  auto eventText(const Generation &Source, std::uint64_t Offset) -> std::string;
  auto sendKeepAlives() -> void;
  auto recordLoad() -> void;

  EngineOptions m_Options;
  base::IScheduler &m_Scheduler;
  const base::IClock &m_Clock;
  double m_SlowFactor = 1.0;
  std::uint64_t m_CutAfterEvents = 0;
  std::uint64_t m_CrossedEvents = 0;
  bool m_Crossed = false;
  bool m_Refuse = false;
  bool m_Leaving = false;
  std::map<std::string, GenerationPointer> m_Generations;
  std::deque<GenerationPointer> m_Waiting;
  std::uint64_t m_Running = 0;
  std::deque<LoadSample> m_LoadSamples;
  EngineCounts m_Counts;
  OrderState m_Orders;
};

} // namespace geraniumlift::standins
