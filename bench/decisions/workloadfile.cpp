#include "decisions/workloadfile.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <stdexcept>
#include <toml++/toml.h>

namespace geraniumlift::bench {

namespace {

/// Reads the fields of one table and remembers which keys were read.
class TableReader {
public:
  TableReader(const toml::table &Table, std::string Where)
      : m_Table(Table), m_Where(std::move(Where)) {}

  template <typename Value>
  auto read(std::string_view Key, Value &Target) -> TableReader & {
    m_Known.insert(std::string(Key));
    const auto *Node = m_Table.get(Key);
    if (Node == nullptr) {
      return *this;
    }
    const auto Found = Node->value<Value>();
    if (!Found) {
      fail(Key, *Node, "has the wrong type");
    }
    Target = *Found;
    return *this;
  }

  auto child(std::string_view Key) -> const toml::table & {
    static const auto Empty = toml::table();
    m_Known.insert(std::string(Key));
    const auto *Node = m_Table.get(Key);
    if (Node == nullptr) {
      return Empty;
    }
    if (!Node->is_table()) {
      fail(Key, *Node, "must be a table");
    }
    return *Node->as_table();
  }

  template <typename Item, typename Read>
  auto list(std::string_view Key, std::vector<Item> &Target, Read ReadItem) -> TableReader & {
    m_Known.insert(std::string(Key));
    const auto *Node = m_Table.get(Key);
    if (Node == nullptr || !Node->is_array()) {
      throw std::runtime_error(fmt::format("{}: field {} must be a list", m_Where, Key));
    }
    for (const auto &Element : *Node->as_array()) {
      if (!Element.is_table()) {
        fail(Key, Element, "must hold tables");
      }
      auto Reader = TableReader(*Element.as_table(), fmt::format("{}.{}", m_Where, Key));
      Target.push_back(ReadItem(Reader));
      Reader.finish();
    }
    return *this;
  }

  auto strings(std::string_view Key, std::vector<std::string> &Target) -> TableReader & {
    m_Known.insert(std::string(Key));
    const auto *Node = m_Table.get(Key);
    if (Node == nullptr || !Node->is_array()) {
      throw std::runtime_error(fmt::format("{}: field {} must be a list", m_Where, Key));
    }
    for (const auto &Element : *Node->as_array()) {
      Target.push_back(Element.value_or(std::string()));
    }
    return *this;
  }

  /// Fails on keys that no call has read.
  auto finish() const -> void {
    for (const auto &[Key, Node] : m_Table) {
      if (!m_Known.contains(std::string(Key.str()))) {
        fail(Key.str(), Node, "is unknown");
      }
    }
  }

private:
  [[noreturn]] auto fail(std::string_view Key, const toml::node &Node, std::string_view What) const
      -> void {
    throw std::runtime_error(
        fmt::format("{}:{}: field {} {}", m_Where, Node.source().begin.line, Key, What));
  }

  const toml::table &m_Table;
  std::string m_Where;
  std::set<std::string> m_Known;
};

auto readPool(TableReader &Reader) -> PoolSpec {
  auto Pool = PoolSpec();
  Reader.read("name", Pool.m_Name)
      .read("targets", Pool.m_Targets)
      .read("slots", Pool.m_Slots)
      .read("idempotent", Pool.m_Idempotent)
      .read("seconds_per_token", Pool.m_SecondsPerToken)
      .read("prompt_tokens_per_second", Pool.m_PromptTokensPerSecond)
      .read("seconds_per_call", Pool.m_SecondsPerCall)
      .read("prefix_cache", Pool.m_PrefixCache);
  return Pool;
}

auto readClass(TableReader &Reader) -> ClassSpec {
  auto Class = ClassSpec();
  Reader.read("name", Class.m_Name)
      .read("level", Class.m_Level)
      .read("guaranteed_share", Class.m_GuaranteedShare);
  return Class;
}

auto readWorkspace(TableReader &Reader) -> WorkspaceSpec {
  auto Workspace = WorkspaceSpec();
  Reader.read("name", Workspace.m_Name)
      .read("class", Workspace.m_Class)
      .read("weight", Workspace.m_Weight);
  return Workspace;
}

auto readFlow(TableReader &Reader) -> FlowSpec {
  auto Flow = FlowSpec();
  Reader.read("name", Flow.m_Name)
      .read("workspace", Flow.m_Workspace)
      .read("pool", Flow.m_Pool)
      .read("rate_per_second", Flow.m_RatePerSecond)
      .read("swings", Flow.m_Swings)
      .read("short", Flow.m_Short)
      .read("paid", Flow.m_Paid)
      .read("prompt_tokens", Flow.m_PromptTokens)
      .read("answer_median", Flow.m_AnswerMedian)
      .read("answer_sigma", Flow.m_AnswerSigma)
      .read("straggler_share", Flow.m_StragglerShare)
      .read("straggler_factor", Flow.m_StragglerFactor)
      .read("max_tokens", Flow.m_MaxTokens)
      .read("deadline_seconds", Flow.m_DeadlineSeconds)
      .read("prefixes", Flow.m_Prefixes)
      .read("prefix_tokens", Flow.m_PrefixTokens)
      .read("callers", Flow.m_Callers);
  return Flow;
}

auto readSwing(TableReader &Reader) -> SwingSpec {
  auto Swing = SwingSpec();
  Reader.read("start_seconds", Swing.m_StartSeconds)
      .read("end_seconds", Swing.m_EndSeconds)
      .read("factor", Swing.m_Factor);
  return Swing;
}

auto readHiddenSlow(const toml::table &Table, HiddenSlowSpec &Slow) -> void {
  auto Reader = TableReader(Table, "hidden_slow");
  Reader.read("mean_interval_seconds", Slow.m_MeanIntervalSeconds)
      .read("duration_seconds", Slow.m_DurationSeconds)
      .read("factor", Slow.m_Factor)
      .finish();
}

auto readFaults(const toml::table &Table, FaultSpec &Faults) -> void {
  auto Reader = TableReader(Table, "faults");
  Reader.read("slow_start_seconds", Faults.m_SlowStartSeconds)
      .read("slow_end_seconds", Faults.m_SlowEndSeconds)
      .read("slow_share", Faults.m_SlowShare)
      .read("slow_factor", Faults.m_SlowFactor)
      .read("leave_seconds", Faults.m_LeaveSeconds)
      .read("vm_list_lag_seconds", Faults.m_VmListLagSeconds)
      .read("cut_start_seconds", Faults.m_CutStartSeconds)
      .read("cut_end_seconds", Faults.m_CutEndSeconds)
      .read("cut_share", Faults.m_CutShare)
      .finish();
}

auto readCallers(const toml::table &Table, CallerSpec &Callers) -> void {
  auto Reader = TableReader(Table, "callers");
  Reader.read("retries_after_refusal", Callers.m_RetriesAfterRefusal)
      .read("retry_pause_seconds", Callers.m_RetryPauseSeconds)
      .read("connect_timeout_seconds", Callers.m_ConnectTimeoutSeconds)
      .read("silence_seconds", Callers.m_SilenceSeconds)
      .read("entry_list_seconds", Callers.m_EntryListSeconds)
      .finish();
}

auto readWorkload(const toml::table &Table, const std::string &Path) -> Workload {
  auto Load = Workload();
  auto Reader = TableReader(Table, Path);
  Reader.read("name", Load.m_Name)
      .read("duration_seconds", Load.m_DurationSeconds)
      .read("routers", Load.m_Routers)
      .strings("data_centres", Load.m_DataCentres)
      .read("caller_latency_seconds", Load.m_CallerLatencySeconds)
      .read("near_latency_seconds", Load.m_NearLatencySeconds)
      .read("far_latency_seconds", Load.m_FarLatencySeconds)
      .read("report_interval_seconds", Load.m_ReportIntervalSeconds)
      .read("report_lag_seconds", Load.m_ReportLagSeconds)
      .read("cache_event_lag_seconds", Load.m_CacheEventLagSeconds)
      .read("cache_event_loss", Load.m_CacheEventLoss)
      .list("pool", Load.m_Pools, readPool)
      .list("class", Load.m_Classes, readClass)
      .list("workspace", Load.m_Workspaces, readWorkspace)
      .list("flow", Load.m_Flows, readFlow)
      .list("swing", Load.m_Swings, readSwing);
  readHiddenSlow(Reader.child("hidden_slow"), Load.m_HiddenSlow);
  readFaults(Reader.child("faults"), Load.m_Faults);
  readCallers(Reader.child("callers"), Load.m_Callers);
  Reader.finish();
  return Load;
}

template <typename Item>
auto hasNamed(const std::vector<Item> &Items, const std::string &Name) -> bool {
  return std::any_of(Items.begin(), Items.end(),
                     [&Name](const Item &Each) { return Each.m_Name == Name; });
}

auto checkReferences(const Workload &Load) -> void {
  for (const auto &Flow : Load.m_Flows) {
    if (!hasNamed(Load.m_Workspaces, Flow.m_Workspace) || !hasNamed(Load.m_Pools, Flow.m_Pool)) {
      throw std::runtime_error(
          fmt::format("flow {} names an unknown workspace or pool", Flow.m_Name));
    }
  }
  for (const auto &Workspace : Load.m_Workspaces) {
    if (!hasNamed(Load.m_Classes, Workspace.m_Class)) {
      throw std::runtime_error(
          fmt::format("workspace {} names an unknown class", Workspace.m_Name));
    }
  }
  if (Load.m_DataCentres.empty()) {
    throw std::runtime_error("data_centres is empty");
  }
}

} // namespace

auto loadWorkload(const std::string &Path) -> absl::StatusOr<Workload> {
  try {
    auto Load = readWorkload(toml::parse_file(Path), Path);
    checkReferences(Load);
    return Load;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(fmt::format("workload {}: {}", Path, Error.what()));
  }
}

} // namespace geraniumlift::bench
