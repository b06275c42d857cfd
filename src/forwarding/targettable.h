#pragma once

#include "base/iclock.h"
#include "forwarding/requesttypes.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <set>

namespace geraniumlift::forwarding {

/// A target as its last registration describes it.
struct TargetRecord {
  std::string m_Id;

  /// Start of the target's process in milliseconds since 1970; tells two lives with one ID apart.
  std::int64_t m_Incarnation = 0;
  std::string m_Pool;
  std::string m_Address;
  std::uint16_t m_Port = 0;
  std::string m_DataCentre;

  /// It takes no new requests.
  bool m_IsLeaving = false;
};

/// Work of one router at one target, or the sum over several routers.
struct TargetLoad {
  /// Prompt tokens to be read for requests that have not answered yet.
  Tokens m_PendingPromptTokens = 0;

  /// Requests sent and not ended.
  std::int64_t m_ActiveRequests = 0;

  auto operator+=(const TargetLoad &Other) -> TargetLoad & {
    m_PendingPromptTokens += Other.m_PendingPromptTokens;
    m_ActiveRequests += Other.m_ActiveRequests;
    return *this;
  }
};

/// What one attempt at a target showed.
enum class AttemptResult { Unknown, Success, Refused, Failed, Unresponsive };

/// Bounds of the health judgement.
struct HealthOptions {
  /// A target that failed is left out this long; the time doubles with each failure in a row.
  std::chrono::milliseconds m_BaseEjectionTime{500};
  std::chrono::milliseconds m_MaxEjectionTime{4000};

  /// A target that fails more than this share of its recent requests is left out too.
  double m_MaxFailureRate = 0.3;

  /// Weight of the newest attempt in the failure share.
  double m_FailureRateSmoothing = 0.12;
};

/// One target with what this router knows of it.
class TargetState {
public:
  explicit TargetState(TargetRecord Record) : m_Record(std::move(Record)) {}

  [[nodiscard]] auto record() const -> const TargetRecord & { return m_Record; }
  [[nodiscard]] auto ownLoad() const -> const TargetLoad & { return m_OwnLoad; }

  /// Prompt tokens of shared parts that this router believes the target keeps, counted from the
  /// first part on; the rest has to be read.
  [[nodiscard]] auto cachedTokens(const PromptMetadata &Prompt, base::SteadyTime Now) const
      -> Tokens;

  [[nodiscard]] auto isEjected(base::SteadyTime Now) const -> bool { return Now < m_EjectedUntil; }

  /// Share of recent attempts that failed, 0 to 1.
  [[nodiscard]] auto failureRate() const -> double { return m_FailureRate; }

private:
  friend class TargetTable;

  TargetRecord m_Record;
  TargetLoad m_OwnLoad;
  absl::flat_hash_map<std::string, base::SteadyTime> m_CachedParts;
  base::SteadyTime m_EjectedUntil;
  double m_FailureRate = 0.0;
  int m_ConsecutiveFailures = 0;
};

/// The targets of all pools.
class TargetTable {
public:
  explicit TargetTable(HealthOptions Options) : m_Options(Options) {}

  /// Adds a target or replaces what is known of it. A new life of it forgets the old one's state.
  /// Returns whether anything but the time of the entry changed.
  auto put(const TargetRecord &Record) -> bool;

  /// Removes a target that is gone. Returns whether it was there.
  auto remove(const std::string &Id) -> bool;

  [[nodiscard]] auto find(const std::string &Id) const -> const TargetState *;

  /// Targets of the pool that take requests.
  [[nodiscard]] auto availableTargets(std::string_view Pool) const
      -> std::vector<const TargetState *>;

  [[nodiscard]] auto all() const -> const std::map<std::string, TargetState> & { return m_Targets; }

  /// A request was sent: it weighs on the target until the two calls below. Tokens of the prompt
  /// that the target keeps need not be read and do not count.
  auto recordSent(const std::string &Id, const PromptMetadata *Prompt, Tokens UncachedTokens,
                  base::SteadyTime Now) -> void;

  /// The request's answer has begun; its prompt does not wait any longer.
  auto recordResponseStart(const std::string &Id, Tokens UncachedTokens) -> void;

  auto recordEnd(const std::string &Id) -> void;

  /// Judges the target by one attempt.
  auto recordResult(const std::string &Id, AttemptResult Result, base::SteadyTime Now) -> void;

private:
  HealthOptions m_Options;
  std::map<std::string, TargetState> m_Targets;
};

} // namespace geraniumlift::forwarding
