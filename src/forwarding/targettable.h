#pragma once

#include "base/iclock.h"
#include "forwarding/requesttypes.h"
#include "forwarding/targetpace.h"
#include "forwarding/targetspeed.h"
#include "ratelimits/limittypes.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <map>
#include <set>

namespace geraniumlift::forwarding {

/// Registration of a target.
struct TargetRecord {
  std::string m_Id;

  /// Start of the target's process in milliseconds since 1970. Distinguishes processes that use the
  /// same ID one after another.
  std::int64_t m_Incarnation = 0;
  std::string m_Pool;
  std::string m_Address;
  std::uint16_t m_Port = 0;
  std::string m_DataCentre;

  /// Version of the target's software; empty if it does not say.
  std::string m_Version = {};

  /// Whether the target has stopped accepting new requests.
  bool m_IsLeaving = false;

  /// How long the target stays cold, as of the writing of the registration.
  std::chrono::milliseconds m_ColdTime{0};
};

/// Load that one router puts on a target, or the sum over several routers.
struct TargetLoad {
  /// Uncached prompt tokens of requests whose response has not begun.
  Tokens m_PendingPromptTokens = 0;

  /// Requests that were sent and have not ended.
  std::int64_t m_ActiveRequests = 0;

  auto operator+=(const TargetLoad &Other) -> TargetLoad & {
    m_PendingPromptTokens += Other.m_PendingPromptTokens;
    m_ActiveRequests += Other.m_ActiveRequests;
    return *this;
  }
};

/// Result of one attempt, as it counts for the health of the target.
enum class AttemptResult { Unknown, Success, Refused, Failed, Unresponsive };

/// Thresholds for ejecting targets that fail.
struct HealthOptions {
  /// First ejection time. It doubles with each further consecutive failure, up to
  /// m_MaxEjectionTime.
  std::chrono::milliseconds m_BaseEjectionTime{500};
  std::chrono::milliseconds m_MaxEjectionTime{4000};

  /// A failure also ejects a target whose failure rate exceeds this.
  double m_MaxFailureRate = 0.3;

  /// Weight of the newest attempt in the exponential moving average of the failure rate.
  double m_FailureRateSmoothing = 0.12;

  /// Whether targets that have started, restarted or been ejected get requests as they answer; see
  /// TargetPace. After a pause they always do.
  bool m_IsPaced = true;
};

/// What a target has said about itself in its responses.
struct TargetStatements {
  /// When it first said that it is leaving.
  std::optional<base::SteadyTime> m_LeavingSince;

  /// End of the longest pause that it has asked for.
  base::SteadyTime m_PausedUntil;

  /// Number of unreadable statements.
  std::int64_t m_Unreadable = 0;
};

/// What is remembered of a process that is not registered.
struct FormerTarget {
  std::string m_Id;
  std::int64_t m_Incarnation = 0;
  bool m_IsLeaving = false;
  TargetStatements m_Statements;
};

/// A target's registration, load and health as seen by this router.
class TargetState {
public:
  explicit TargetState(TargetRecord Record)
      : m_Record(std::move(Record)),
        m_LimitKey(ratelimits::targetKey(m_Record.m_Id, m_Record.m_Incarnation)) {}

  [[nodiscard]] auto record() const -> const TargetRecord & { return m_Record; }
  [[nodiscard]] auto ownLoad() const -> const TargetLoad & { return m_OwnLoad; }

  /// Identifies the target's process where limits are concerned.
  [[nodiscard]] auto limitKey() const -> ratelimits::TargetKey { return m_LimitKey; }

  /// Number of leading prompt tokens that the target is expected to have in its cache, because this
  /// router has recently sent it requests with the same parts.
  [[nodiscard]] auto cachedTokens(const PromptMetadata &Prompt, base::SteadyTime Now) const
      -> Tokens;

  /// Whether the target is left out of placement after failures.
  [[nodiscard]] auto isEjected(base::SteadyTime Now) const -> bool { return Now < m_EjectedUntil; }

  /// End of the last ejection.
  [[nodiscard]] auto ejectedUntil() const -> base::SteadyTime { return m_EjectedUntil; }

  [[nodiscard]] auto statements() const -> const TargetStatements & { return m_Statements; }

  /// How many requests the target may get after it has started or recovered.
  [[nodiscard]] auto pace() const -> const TargetPace & { return m_Pace; }

  /// How fast the target's process answers.
  [[nodiscard]] auto speed() const -> const TargetSpeed & { return m_Speed; }

  /// Prompt and output tokens of this router's requests that have not ended.
  [[nodiscard]] auto heldTokens() const -> Tokens { return m_HeldTokens; }

  /// Moving average of the share of attempts that failed, 0 to 1.
  [[nodiscard]] auto failureRate() const -> double { return m_FailureRate; }

private:
  friend class TargetTable;

  TargetRecord m_Record;
  ratelimits::TargetKey m_LimitKey;
  TargetLoad m_OwnLoad;

  /// Time of the last request by ID of a prompt part.
  absl::flat_hash_map<std::string, base::SteadyTime> m_CachedParts;
  TargetStatements m_Statements;
  TargetSpeed m_Speed;
  TargetPace m_Pace;
  Tokens m_HeldTokens = 0;
  base::SteadyTime m_EjectedUntil;
  double m_FailureRate = 0.0;
  int m_ConsecutiveFailures = 0;
};

/// What this router has learned from all targets of a pool.
struct PoolSpeed {
  /// Drawn but weakly towards what is assumed of all pools alike.
  TargetSpeed m_Speed{0.5};

  /// Moving average of the prompt and output tokens of a request.
  double m_HeldTokens = 0.0;
};

/// The work that an attempt meets at its target.
struct AttemptWork {
  WorkAhead m_Ahead;

  /// Requests that the target runs at a time; 0 if that is not known.
  std::int64_t m_Slots = 0;
  bool m_HasPrompt = false;
};

/// Targets of all pools by ID.
class TargetTable {
public:
  explicit TargetTable(HealthOptions Options) : m_Options(Options) {}

  /// Adds a target or updates its registration. A new incarnation resets everything but the load.
  /// A process that left and is registered once more is still leaving.
  /// Returns whether the target is new or restarted, or its registration has changed. A new or
  /// restarted target is paced if its pool has answered this router before; what a router finds
  /// when it starts itself is not new.
  auto put(const TargetRecord &Record, base::SteadyTime Now = {}) -> bool;

  /// Removes a target. Returns whether it existed.
  auto remove(const std::string &Id) -> bool;

  /// Returns the target, or nullptr. The pointer is valid until the target is removed.
  [[nodiscard]] auto find(const std::string &Id) const -> const TargetState *;

  /// Returns the targets of the pool, whether or not they take requests.
  [[nodiscard]] auto targetsOf(std::string_view Pool) const -> std::vector<const TargetState *>;

  [[nodiscard]] auto all() const -> const std::map<std::string, TargetState> & { return m_Targets; }

  /// Adds a sent request to the target's load. recordResponseStart() removes its prompt tokens and
  /// recordEnd() the request. Prompt is nullptr for requests without a prompt; UncachedTokens
  /// leaves out the tokens in the target's cache, which cost no processing.
  auto recordSent(const std::string &Id, const PromptMetadata *Prompt, Tokens UncachedTokens,
                  base::SteadyTime Now) -> void;

  /// Removes the prompt of a request from the target's load, because its response has begun or its
  /// attempt has ended.
  auto recordResponseStart(const std::string &Id, Tokens UncachedTokens) -> void;

  /// Removes an ended request from the target's load; HeldTokens are those of its prompt and output
  /// limit. IsAnswered says whether recordFirstEvent() was called for it.
  auto recordEnd(const std::string &Id, Tokens HeldTokens = 0, bool IsAnswered = false) -> void;

  /// Learns from the time between the sending of a request to a process and the first event of its
  /// successful response. Ignored if another process runs under the ID by now.
  auto recordFirstEvent(const std::string &Id, std::int64_t Incarnation, const AttemptWork &Work,
                        std::chrono::milliseconds Time, base::SteadyTime Now) -> void;

  /// Learns from the time between the first event and the end of a successful response.
  auto recordResponse(const std::string &Id, std::int64_t Incarnation,
                      std::chrono::milliseconds Time, std::int64_t Events) -> void;

  /// Learns that a process turned a request away while it held this many.
  auto recordTurnedAway(const std::string &Id, std::int64_t Incarnation,
                        std::int64_t ActiveRequests, base::SteadyTime Now) -> void;

  /// What is known of a pool's targets, or assumed where nothing is known.
  [[nodiscard]] auto poolFigures(const std::string &Pool, bool HasPrompt,
                                 base::SteadyTime Now) const -> SpeedFigures;

  /// What all targets of the pool have shown.
  [[nodiscard]] auto poolSpeed(const std::string &Pool) const -> const TargetSpeed &;

  /// Prompt and output tokens of an average request to the pool.
  [[nodiscard]] auto meanHeldTokens(const std::string &Pool) const -> double;

  /// Updates the failure rate with the result of an attempt and ejects the target if it is
  /// unhealthy. Unknown results are ignored.
  auto recordResult(const std::string &Id, AttemptResult Result, base::SteadyTime Now) -> void;

  /// Ends the target's ejection and forgets its failures in a row, because they were not its own.
  auto pardon(const std::string &Id) -> void;

  /// Records that a process of the target has said that it is leaving, or has asked for a pause.
  /// It counts whenever that process is registered.
  auto recordLeaving(const std::string &Id, std::int64_t Incarnation, base::SteadyTime Now) -> void;
  auto recordPause(const std::string &Id, std::int64_t Incarnation, std::chrono::milliseconds Pause,
                   base::SteadyTime Now) -> void;

  /// Counts an unreadable statement. Returns how many the target's process has made.
  auto countUnreadableStatement(const std::string &Id) -> std::int64_t;

private:
  /// Processes that are remembered after their removal, the newest ones.
  static constexpr auto MaxFormerTargets = std::size_t{1024};

  /// Remembers what a process has said that is no longer registered.
  auto remember(const TargetState &State) -> void;
  auto findFormer(const std::string &Id, std::int64_t Incarnation) -> FormerTarget *;

  /// Gives a target back what its process had said before it was removed.
  auto restoreStatements(TargetState &State) -> void;

  /// Returns the state of the target's process, or nullptr if it is not the current one.
  auto findProcess(const std::string &Id, std::int64_t Incarnation) -> TargetState *;

  /// Whether the process can be told from others under its ID: it is registered, or its incarnation
  /// is known.
  auto isIdentified(const std::string &Id, std::int64_t Incarnation) -> bool;

  /// Returns what a process has said, whether or not it is registered.
  auto statementsOf(const std::string &Id, std::int64_t Incarnation) -> TargetStatements &;

  HealthOptions m_Options;
  std::map<std::string, TargetState> m_Targets;

  /// In the order of their removal.
  std::deque<FormerTarget> m_FormerTargets;

  /// By name; a pool is dropped with its last target.
  std::map<std::string, PoolSpeed> m_Pools;
};

} // namespace geraniumlift::forwarding
