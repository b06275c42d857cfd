#include "telemetry/metrics.h"

#include "base/hashing.h"
#include "base/nametable.h"
#include "telemetry/internal/metrictext.h"
#include "telemetry/internal/series.h"

#include <fmt/format.h>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <unordered_map>

namespace geraniumlift::telemetry {

namespace {

enum class MetricType { Counter, Gauge, Summary };

constexpr auto MetricTypeNames = std::array{
    base::NamedValue<MetricType>{MetricType::Counter, "counter"},
    base::NamedValue<MetricType>{MetricType::Gauge, "gauge"},
    base::NamedValue<MetricType>{MetricType::Summary, "summary"},
};

constexpr auto DroppedSeries = std::string_view{"geraniumlift_telemetry_dropped_series_total"};

/// All series with the same metric name.
struct Family {
  MetricType m_Type = MetricType::Counter;

  /// Keyed by the result of labelText().
  std::map<std::string, std::unique_ptr<Series>> m_Series;
};

/// Appends a string prefixed with its length, so that different lists of strings give different
/// bytes.
auto appendWithLength(std::string &Bytes, std::string_view Text) -> void {
  const auto Length = static_cast<std::uint32_t>(Text.size());
  Bytes.append(reinterpret_cast<const char *>(&Length), sizeof(Length));
  Bytes += Text;
}

/// Replaces the key by type, name and labels as passed by the caller, neither sorted nor sanitised.
auto writeLookupKey(std::string &Key, MetricType Type, std::string_view Name,
                    const std::vector<Label> &Labels) -> void {
  Key.clear();
  Key += static_cast<char>(Type);
  appendWithLength(Key, Name);
  for (const auto &Row : Labels) {
    appendWithLength(Key, Row.m_Key);
    appendWithLength(Key, Row.m_Value);
  }
}

struct LookupKeyHash {
  auto operator()(const std::string &Key) const -> std::size_t { return base::hash64(Key); }
};

auto seconds(std::chrono::nanoseconds Value) -> double {
  return std::chrono::duration<double>(Value).count();
}

auto inBraces(const std::string &Labels, const std::string &Extra = "") -> std::string {
  if (Labels.empty() && Extra.empty()) {
    return "";
  }
  return "{" + Labels + (Labels.empty() || Extra.empty() ? "" : ",") + Extra + "}";
}

auto renderSummary(std::string &Text, const std::string &Name, const std::string &Labels,
                   const Series::Summary &Shown) -> void {
  for (std::size_t At = 0; Shown.m_Quantiles && At < Quantiles.size(); ++At) {
    Text += fmt::format("{}{} {}\n", Name,
                        inBraces(Labels, fmt::format("quantile=\"{}\"", Quantiles[At])),
                        (*Shown.m_Quantiles)[At]);
  }
  Text += fmt::format("{}_sum{} {}\n", Name, inBraces(Labels), Shown.m_Sum);
  Text += fmt::format("{}_count{} {}\n", Name, inBraces(Labels), Shown.m_Count);
}

auto renderFamily(std::string &Text, const std::string &Name, const Family &Shown) -> void {
  Text += fmt::format("# TYPE {} {}\n", Name, base::nameOf(MetricTypeNames, Shown.m_Type));
  for (const auto &[Labels, Values] : Shown.m_Series) {
    if (Shown.m_Type == MetricType::Summary) {
      renderSummary(Text, Name, Labels, Values->summary());
    } else {
      Text += fmt::format("{}{} {}\n", Name, inBraces(Labels), Values->value());
    }
  }
}

} // namespace

/// Owns all series. A known combination of type, name and labels takes a shared lock and one
/// look-up in a hash table; the canonical label text is built only for a new combination.
class Metrics::Registry {
public:
  /// Finds or adds a series. Returns null, and counts the update as dropped, if the series limit is
  /// reached or the name is in use with another type.
  auto find(MetricType Type, std::string_view Name, const std::vector<Label> &Labels) -> Series * {
    thread_local auto Key = std::string();
    writeLookupKey(Key, Type, Name, Labels);
    {
      const auto Lock = std::shared_lock(m_Mutex);
      const auto Found = m_SeriesByLookupKey.find(Key);
      if (Found != m_SeriesByLookupKey.end()) {
        return Found->second;
      }
    }
    const auto Lock = std::lock_guard(m_Mutex);
    auto *Added = findOrAdd(Type, metricName(Name), labelText(Labels));
    if (Added == nullptr || m_SeriesByLookupKey.size() >= MaxSeries) {
      m_Dropped.add(Added == nullptr ? 1.0 : 0.0);
      return Added;
    }
    return m_SeriesByLookupKey[Key] = Added;
  }

  [[nodiscard]] auto render() const -> std::string {
    const auto Lock = std::shared_lock(m_Mutex);
    auto Text = fmt::format("# TYPE {0} counter\n{0} {1}\n", DroppedSeries, m_Dropped.value());
    for (const auto &[Name, Shown] : m_Families) {
      renderFamily(Text, Name, Shown);
    }
    return Text;
  }

private:
  auto findOrAdd(MetricType Type, const std::string &Name, const std::string &Labels) -> Series * {
    const auto Known = m_Families.find(Name);
    if (Name == DroppedSeries || (Known != m_Families.end() && Known->second.m_Type != Type)) {
      return nullptr;
    }
    if (Known != m_Families.end()) {
      const auto Found = Known->second.m_Series.find(Labels);
      if (Found != Known->second.m_Series.end()) {
        return Found->second.get();
      }
    }
    if (m_SeriesCount >= MaxSeries) {
      return nullptr;
    }
    m_SeriesCount += 1;
    auto &Added = m_Families.try_emplace(Name, Family{Type, {}}).first->second.m_Series[Labels];
    Added = std::make_unique<Series>();
    return Added.get();
  }

  mutable std::shared_mutex m_Mutex;
  std::unordered_map<std::string, Series *, LookupKeyHash> m_SeriesByLookupKey;
  std::map<std::string, Family> m_Families;
  std::size_t m_SeriesCount = 0;
  Series m_Dropped;
};

Metrics::Metrics() : m_Registry(std::make_unique<Registry>()) {}

Metrics::~Metrics() = default;

auto Metrics::count(std::string_view Name, const std::vector<Label> &Labels, double By) -> void {
  if (auto *Found = m_Registry->find(MetricType::Counter, Name, Labels)) {
    Found->add(By);
  }
}

auto Metrics::gauge(std::string_view Name, const std::vector<Label> &Labels, double Value) -> void {
  if (auto *Found = m_Registry->find(MetricType::Gauge, Name, Labels)) {
    Found->set(Value);
  }
}

auto Metrics::observe(std::string_view Name, const std::vector<Label> &Labels,
                      std::chrono::nanoseconds Value) -> void {
  if (auto *Found = m_Registry->find(MetricType::Summary, Name, Labels)) {
    Found->observe(seconds(Value));
  }
}

auto Metrics::render() const -> std::string { return m_Registry->render(); }

} // namespace geraniumlift::telemetry
