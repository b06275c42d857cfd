#include "telemetry/metrics.h"

#include <criterion/criterion.h>
#include <thread>

using namespace geraniumlift::telemetry;

namespace {

auto contains(const Metrics &Shown, const std::string &Line) -> bool {
  return ("\n" + Shown.render()).find("\n" + Line + "\n") != std::string::npos;
}

} // namespace

// Guards against updates that are lost when threads write the same series.
Test(metrics, countsFromConcurrentThreads) {
  auto Collected = Metrics();
  auto Threads = std::vector<std::thread>();
  for (auto Thread = 0; Thread < 4; ++Thread) {
    Threads.emplace_back([&Collected] {
      for (auto Round = 0; Round < 1000; ++Round) {
        Collected.count("requests_total", {{"code", "ok"}}, 1.0);
        Collected.observe("wait_seconds", {}, std::chrono::milliseconds{Round + 1});
      }
    });
  }
  for (auto &Thread : Threads) {
    Thread.join();
  }
  cr_assert(contains(Collected, "# TYPE requests_total counter\nrequests_total{code=\"ok\"} 4000"));
  cr_assert(contains(Collected, "wait_seconds_count 4000"));
}

// Guards against a name or label with invalid characters that makes the whole output unparsable.
Test(metrics, sanitisesNamesAndEscapesLabelValues) {
  auto Collected = Metrics();
  Collected.gauge("9 a-b\n", {{"k\"y", "v\"\\\n\x01\xff"}, {"", ""}, {"quantile", "x"}}, 1.5);
  cr_assert(contains(Collected, "# TYPE _9_a_b_ gauge\n_9_a_b_{_=\"\",k_y=\"v\\\"\\\\\\n??\","
                                "quantile_=\"x\"} 1.5"));
}

// Guards against a series that is listed twice because its labels were passed in another order or
// its name differs only in characters that are replaced.
Test(metrics, mergesEquivalentSeries) {
  auto Collected = Metrics();
  Collected.count("a.b", {{"x", "1"}, {"y", "2"}}, 1.0);
  Collected.count("a_b", {{"y", "2"}, {"x", "1"}, {"x", "3"}}, 1.0);
  cr_assert(contains(Collected, "a_b{x=\"1\",y=\"2\"} 2"));
}

// Guards against quantiles in the wrong unit or order, and against estimates of too few values.
Test(metrics, reportsQuantilesInSeconds) {
  auto Collected = Metrics();
  Collected.observe("wait", {}, std::chrono::seconds{1});
  cr_assert(Collected.render().find("quantile") == std::string::npos);
  auto Distribution = Metrics();
  for (auto Value = 0; Value < 10000; ++Value) {
    Distribution.observe("wait", {}, std::chrono::milliseconds{Value * 7919 % 10000});
  }
  const auto Text = Distribution.render();
  for (const auto &[Quantile, Expected] : {std::pair{"0.5", 5.0}, {"0.95", 9.5}, {"0.99", 9.9}}) {
    const auto Prefix = "wait{quantile=\"" + std::string(Quantile) + "\"} ";
    const auto At = Text.find(Prefix);
    cr_assert(At != std::string::npos);
    cr_assert_float_eq(std::stod(Text.substr(At + Prefix.size())), Expected, 0.1);
  }
}

// Guards against memory that grows without limit with label values, and against a metric name with
// two types.
Test(metrics, limitsSeriesAndRejectsSecondType) {
  auto Collected = Metrics();
  for (std::size_t Value = 0; Value < Metrics::MaxSeries + 5; ++Value) {
    Collected.count("n", {{"value", std::to_string(Value)}}, 1.0);
  }
  cr_assert(contains(Collected, "geraniumlift_telemetry_dropped_series_total 5"));
  Collected.gauge("n", {}, 1.0);
  cr_assert(contains(Collected, "geraniumlift_telemetry_dropped_series_total 6"));
  Collected.count("n", {{"value", "0"}}, 1.0);
  cr_assert(contains(Collected, "n{value=\"0\"} 2"));
}
