#pragma once

#include "quarantine/quarantinetypes.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <optional>
#include <set>

namespace geraniumlift::quarantine {

/// Thresholds of a CrashAttributor.
struct AttributionOptions {
  /// Crashes after which a part is blamed that was never answered. One request may crash two
  /// targets, the second one in a retry, and a sound one may be unlucky twice.
  std::size_t m_UnansweredCrashes = 3;

  /// The same for parts that were answered before the crashes: such a part is probably sound.
  std::size_t m_AnsweredCrashes = 4;

  /// A part that was answered before is not blamed until it has gone unanswered for this long, so
  /// that the other routers can tell of newer answers.
  std::chrono::milliseconds m_MinUnansweredTime{1000};

  /// Crashes after which a part is blamed although another one explains the same crashes.
  std::size_t m_AmbiguousCrashes = 5;

  /// Crashes within this time count as one: targets that end together probably share a cause
  /// outside the requests, such as a power failure.
  std::chrono::milliseconds m_MinSpacing{50};

  /// Time for which crashes and answers count.
  std::chrono::milliseconds m_Lifetime{60000};

  /// Limit on the number of remembered suspects; further ones are ignored.
  std::size_t m_MaxSuspects = 1024;
};

/// A part that is blamed for crashes.
struct BlamedPart {
  PartKey m_Key;
  std::size_t m_Crashes = 0;
};

/// Which crashes count.
enum class CrashScope { Confirmed, All };

/// Finds the prompt parts that crash targets. Answers a load in which one part crashes each target
/// that begins to answer it: every crash also ends sound requests, which share their other parts
/// with the deadly one and with each other. A part is blamed if it was present at several crashes
/// and was not answered since; a crash that is explained by a blamed part counts against no other.
/// Does no input or output.
class CrashAttributor {
public:
  explicit CrashAttributor(AttributionOptions Options) : m_Options(Options) {}

  /// Adds a suspect of a crash. Returns whether it is new.
  auto addSuspect(const Suspect &Item, base::SteadyTime CrashedAt, bool IsConfirmed) -> bool;

  /// Records that the target has crashed, or drops the suspects because it has not.
  auto confirmCrash(CrashId Crash) -> void;
  auto dropUnconfirmedCrash(CrashId Crash) -> void;

  /// Records when a target last began to answer a request with a part. Returns whether that is
  /// later than known.
  auto addAnswer(PartHash Part, base::SteadyTime At) -> bool;
  [[nodiscard]] auto lastAnswer(PartHash Part) const -> std::optional<base::SteadyTime>;

  /// Lets one further crash suffice for a part that was blamed before, until the given time.
  auto distrust(const PartKey &Key, base::SteadyTime Until) -> void;

  /// Returns the parts that are to blame.
  [[nodiscard]] auto blamedParts(CrashScope Scope, base::SteadyTime Now) const
      -> std::vector<BlamedPart>;

  /// Time of the last crash at which the part was present; nothing if there is none.
  [[nodiscard]] auto lastCrash(PartHash Part) const -> std::optional<base::SteadyTime>;

  /// A suspect with the time of its crash.
  struct TimedSuspect {
    Suspect m_Suspect;
    base::SteadyTime m_CrashedAt;
  };

  /// Returns the suspects of a crash.
  [[nodiscard]] auto suspectsOf(CrashId Crash) const -> std::vector<TimedSuspect>;

  /// Returns the suspects that matter to other routers, those of the most blamed parts first: those
  /// of confirmed crashes that none of the given parts explains, and that have a part which was not
  /// answered since.
  [[nodiscard]] auto openSuspects(const std::set<PartKey> &Explained) const
      -> std::vector<TimedSuspect>;

  auto removeExpired(base::SteadyTime Now) -> void;

private:
  struct Crash {
    base::SteadyTime m_Time;
    bool m_IsConfirmed = false;
    std::vector<Suspect> m_Suspects;
  };

  /// The crashes at which a part of one workspace was present and that no answer has refuted.
  struct Presence {
    std::set<CrashId> m_Crashes;

    /// Parts of the same requests, with whether they stand before this one in all of them.
    std::map<PartKey, bool> m_Companions;

    auto addCompanion(const PartKey &Key, bool IsBefore) -> void;
  };
  using PresenceMap = std::map<PartKey, Presence>;

  /// Adds the presences of parts for all workspaces together. Only parts of which two workspaces
  /// give evidence independently of each other have one: each was alone with the part at a crash.
  static auto addSharedPresences(PresenceMap &Presences) -> void;

  auto addPresences(const Suspect &Item, base::SteadyTime CrashedAt) -> void;

  /// Removes the crashes for which the predicate holds from the presences of a part.
  template <typename Predicate>
  auto removePresences(PartHash Part, Predicate IsRemoved) -> void;
  auto removeSuspects(CrashId Id, const Crash &Entry) -> void;

  /// Whether enough crashes count against some part to look closer.
  [[nodiscard]] auto hasCandidate(base::SteadyTime Now) const -> bool;
  [[nodiscard]] auto presences(CrashScope Scope) const -> PresenceMap;
  [[nodiscard]] auto countIncidents(const std::set<CrashId> &Crashes) const -> std::size_t;
  [[nodiscard]] auto threshold(const PartKey &Key, base::SteadyTime Now) const -> std::size_t;

  /// Whether another part that is as likely to blame was present at all crashes of this one.
  [[nodiscard]] auto hasRival(const PartKey &Key, const PresenceMap &Presences) const -> bool;

  AttributionOptions m_Options;
  std::map<CrashId, Crash> m_Crashes;

  /// The open presences of each workspace's parts.
  PresenceMap m_Presences;
  absl::flat_hash_map<PartHash, base::SteadyTime> m_LastCrashes;
  absl::flat_hash_map<PartHash, base::SteadyTime> m_Answers;
  std::map<PartKey, base::SteadyTime> m_Distrusted;
  std::size_t m_SuspectCount = 0;
};

} // namespace geraniumlift::quarantine
