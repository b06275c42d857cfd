#include "standins/service/service.h"

namespace geraniumlift::standins {

auto Service::applyControl(const ServiceControl &Control) -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  if (Control.m_DelayMs) {
    m_Delay = std::chrono::milliseconds{*Control.m_DelayMs};
  }
  m_DieBeforeRead = Control.m_DieBeforeRead.value_or(m_DieBeforeRead);
  m_DieAfterRun = Control.m_DieAfterRun.value_or(m_DieAfterRun);
  m_SilenceEpoch += Control.m_SilenceOpenConnections ? 1 : 0;
  m_Refuse = Control.m_Refuse.value_or(m_Refuse);
  m_Leaving = Control.m_Leaving.value_or(m_Leaving);
}

auto Service::diesBeforeRead() -> bool {
  const auto Lock = std::lock_guard(m_Mutex);
  if (m_DieBeforeRead == 0) {
    return false;
  }
  m_DieBeforeRead -= 1;
  return true;
}

auto Service::execute(bool IsPost, const std::string &IdempotencyKey) -> ServiceAction {
  const auto Lock = std::lock_guard(m_Mutex);
  if (m_Leaving) {
    return ServiceAction::RefuseLeaving;
  }
  if (m_Refuse) {
    return ServiceAction::Refuse;
  }
  if (IsPost) {
    m_Counts.m_Total += 1;
    if (!IdempotencyKey.empty()) {
      m_Counts.m_ByKey[IdempotencyKey] += 1;
    }
  }
  if (m_DieAfterRun == 0) {
    return ServiceAction::Answer;
  }
  m_DieAfterRun -= 1;
  return ServiceAction::CloseWithoutAnswer;
}

auto Service::delay() const -> std::chrono::milliseconds {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_Delay;
}

auto Service::counts() const -> ServiceCounts {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_Counts;
}

auto Service::silenceEpoch() const -> std::uint64_t {
  const auto Lock = std::lock_guard(m_Mutex);
  return m_SilenceEpoch;
}

} // namespace geraniumlift::standins
