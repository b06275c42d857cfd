#pragma once

#include <future>
#include <memory>
#include <utility>

namespace geraniumlift::geraniumctl::internal {

/// Starts an asynchronous call and waits for its callback. Start receives the callback to pass on.
/// Every call of the platform ends within its timeout, so the wait does.
template <typename Result, typename Function>
auto await(Function Start) -> Result {
  auto Promise = std::make_shared<std::promise<Result>>();
  auto Future = Promise->get_future();
  Start([Promise](Result Value) { Promise->set_value(std::move(Value)); });
  return Future.get();
}

} // namespace geraniumlift::geraniumctl::internal
