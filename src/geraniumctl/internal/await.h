#pragma once

#include <future>
#include <memory>
#include <utility>

namespace geraniumlift::geraniumctl::internal {

/// Starts an asynchronous call, blocks until its callback is called, and returns the result. Start
/// receives the callback and passes it to the call. The wait is bounded because every call to the
/// platform ends within its timeout.
template <typename Result, typename Function>
auto await(Function Start) -> Result {
  auto Promise = std::make_shared<std::promise<Result>>();
  auto Future = Promise->get_future();
  Start([Promise](Result Value) { Promise->set_value(std::move(Value)); });
  return Future.get();
}

} // namespace geraniumlift::geraniumctl::internal
