#include "admission/internal/fairsharequeue.h"
#include "admission/internal/fifoqueue.h"

namespace geraniumlift::admission {

namespace {

template <typename Queue>
auto make() -> std::unique_ptr<IWorkQueue> {
  return std::make_unique<Queue>();
}

struct QueueRow {
  QueueOrder m_Order;
  std::unique_ptr<IWorkQueue> (*m_Make)();
};

constexpr auto Queues = std::array{
    QueueRow{QueueOrder::Fifo, &make<FifoQueue>},
    QueueRow{QueueOrder::FairShare, &make<FairShareQueue>},
};

} // namespace

auto makeWorkQueue(QueueOrder Order) -> std::unique_ptr<IWorkQueue> {
  for (const auto &Row : Queues) {
    if (Row.m_Order == Order) {
      return Row.m_Make();
    }
  }
  return nullptr;
}

} // namespace geraniumlift::admission
