#pragma once

#include "gateway/internal/call.h"
#include "gateway/internal/completionaggregator.h"
#include "gateway/internal/completionbody.h"

namespace geraniumlift::gateway {

/// A chat completion. Events are forwarded as they arrive; the end marker is sent once the bill is
/// settled.
class CompletionCall final : public Call {
public:
  CompletionCall(GatewayState &State, CallContext Context, CompletionBody Body,
                 objects::ModelPool Pool);

  auto start() -> void override;
  auto onCallerDisconnected() -> void override;
  auto onDispatch(const admission::Dispatch &Decision) -> void override;

  /// Handles an event of the given attempt; events of earlier attempts are dropped.
  auto onStreamEvent(std::uint64_t Attempt, const targets::StreamEvent &Event) -> void;
  auto onStreamEnd(std::uint64_t Attempt, const targets::StreamEnd &End) -> void;

protected:
  auto onReserved() -> void override;
  auto onNotReserved(const base::Refusal &Refusal) -> void override;
  auto failWithRefusal(const base::Refusal &Refusal) -> void override;

private:
  auto forwardEvent(const targets::StreamEvent &Event) -> void;
  auto complete(const targets::Usage &Usage) -> void;
  auto fail(const targets::StreamEnd &End) -> void;

  CompletionBody m_Body;
  objects::ModelPool m_Pool;
  std::shared_ptr<targets::IEngineStream> m_Stream;
  std::uint64_t m_Attempt = 0;
  base::Tokens m_Generated = 0;
  bool m_StreamBegun = false;
  CompletionAggregator m_Aggregator;
};

} // namespace geraniumlift::gateway
