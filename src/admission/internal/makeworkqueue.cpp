#include "admission/internal/fairsharequeue.h"
#include "admission/internal/fifoqueue.h"

namespace geraniumlift::admission {

namespace {

template <typename Queue>
auto make() -> std::unique_ptr<IWorkQueue> {
  return std::make_unique<Queue>();
}

struct QueueRow {
  QueueStrategy m_Strategy;
  std::unique_ptr<IWorkQueue> (*m_Make)();
};

constexpr auto Queues = std::array{
    QueueRow{QueueStrategy::Fifo, &make<FifoQueue>},
    QueueRow{QueueStrategy::FairShare, &make<FairShareQueue>},
};

} // namespace

auto makeWorkQueue(QueueStrategy Strategy) -> std::unique_ptr<IWorkQueue> {
  for (const auto &Row : Queues) {
    if (Row.m_Strategy == Strategy) {
      return Row.m_Make();
    }
  }
  return nullptr;
}

} // namespace geraniumlift::admission
