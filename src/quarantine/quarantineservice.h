#pragma once

#include "base/ieventlog.h"
#include "base/itimers.h"
#include "base/random.h"
#include "keyvalue/itransactionstore.h"
#include "quarantine/answerhistory.h"
#include "quarantine/crashattributor.h"
#include "quarantine/ipromptquarantine.h"
#include "quarantine/quarantinelist.h"

namespace geraniumlift::quarantine {

/// Settings of a QuarantineService.
struct ServiceOptions {
  std::string m_Router;
  AttributionOptions m_Attribution;
  QuarantineOptions m_Quarantine;

  /// Time for which a part must be blamed before its quarantine is confirmed, told to other routers
  /// and stored. Until then it rests on the evidence, which answers elsewhere may refute.
  std::chrono::milliseconds m_ConfirmationTime{2000};

  /// Interval at which routers tell each other everything that is open, for those that missed it.
  std::chrono::milliseconds m_ReportInterval{1000};

  /// The write of a record is delayed by a random time up to this, so that the first router to
  /// write it saves the others the call.
  std::chrono::milliseconds m_MaxWriteDelay{1500};

  /// Time after which a failed write is tried again.
  std::chrono::milliseconds m_WriteRetryDelay{1000};

  /// Limits on the entries of an update, so that it fits into few packets.
  std::size_t m_MaxReportedSuspects = 32;
  std::size_t m_MaxReportedAnswers = 64;
  std::size_t m_MaxReportedQuarantines = 64;
  std::uint64_t m_Seed = 0;
};

/// The quarantine of one router: collects what happened to its own requests, exchanges evidence
/// with other routers, and keeps confirmed quarantines in the store. Every router decides by
/// itself, by the same rules, on the evidence of all.
class QuarantineService final : public IPromptQuarantine {
public:
  QuarantineService(ServiceOptions Options, keyvalue::ITransactionStore &Store,
                    IListenerCheck &Listeners, base::ITimers &Timers, const base::IClock &Clock,
                    base::IEventLog &Log);

  /// Sets the function that sends an update to the other routers at once.
  auto setPublisher(std::function<void(const QuarantineUpdate &)> Publish) -> void {
    m_Publish = std::move(Publish);
  }

  [[nodiscard]] auto findBlock(WorkspaceHash Workspace, const std::vector<PartHash> &Parts)
      -> std::optional<Block> override;
  auto onResponseBegun(const std::vector<PartHash> &Parts) -> void override;
  auto onConnectionLost(const TargetProcess &Target, WorkspaceHash Workspace,
                        const std::vector<PartHash> &Parts) -> void override;

  /// Applies another router's update. Returns what of it was new, for routers that pass updates on.
  auto onUpdate(const QuarantineUpdate &Update) -> QuarantineUpdate;

  /// Returns everything that is open if the report interval has passed and there is anything.
  auto takeReport() -> std::optional<QuarantineUpdate>;

  /// Applies a record of the store.
  auto onRecordChanged(const keyvalue::KeyValue &Item) -> void;
  auto onRecordRemoved(const std::string &Key) -> void;

  /// Confirms and ends quarantines. To be called several times a second. MayWrite tells whether
  /// this router writes records: not all routers of a large fleet do.
  auto advance(bool MayWrite) -> void;

  /// Number of parts that are in quarantine, confirmed or not.
  [[nodiscard]] auto blockedParts() const -> std::size_t;

private:
  /// Part that is blamed but not yet in confirmed quarantine.
  struct Tentative {
    base::SteadyTime m_Since;
    std::size_t m_Crashes = 0;
  };

  auto onListenerChecked(CrashId Crash, const std::string &TargetId, bool IsListening) -> void;
  auto addAnswer(PartHash Part, base::SteadyTime At) -> bool;

  /// Adds the known answers for the parts of the update's suspects.
  auto addKnownAnswers(QuarantineUpdate &Update) const -> void;

  /// Adds answers for the parts of another router's suspects that this router knows and that one
  /// does not.
  auto addRefutations(const QuarantineUpdate &Update, QuarantineUpdate &Reply) -> void;

  /// Decides anew which parts are blamed.
  auto review() -> void;
  auto confirmTentative() -> void;
  auto publish(QuarantineUpdate Update) -> void;
  auto writeRecord(const PartKey &Key) -> void;
  auto scheduleWrite(const PartKey &Key, std::chrono::milliseconds Delay) -> void;
  auto removeRecord(const PartKey &Key, std::int64_t Revision) -> void;
  [[nodiscard]] auto toReport(const CrashAttributor::TimedSuspect &Item) const -> ReportedSuspect;
  [[nodiscard]] auto toReport(const PartKey &Key, const Quarantine &Item) const
      -> ReportedQuarantine;
  [[nodiscard]] auto ageMs(base::SteadyTime Since) const -> std::uint32_t;
  [[nodiscard]] auto now() const -> base::SteadyTime { return m_Clock.steadyNow(); }

  ServiceOptions m_Options;
  keyvalue::ITransactionStore &m_Store;
  IListenerCheck &m_Listeners;
  base::ITimers &m_Timers;
  const base::IClock &m_Clock;
  base::IEventLog &m_Log;
  base::RandomEngine m_Random;
  std::function<void(const QuarantineUpdate &)> m_Publish;
  AnswerHistory m_History;
  CrashAttributor m_Attributor;
  QuarantineList m_List;
  std::map<PartKey, Tentative> m_Tentative;

  /// Crashes whose target is being checked, and those that were confirmed lately.
  std::set<CrashId> m_Checked;
  std::map<CrashId, base::SteadyTime> m_ConfirmedCrashes;
  std::set<PartKey> m_Writing;
  base::SteadyTime m_LastReport;
  bool m_MayWrite = false;
};

} // namespace geraniumlift::quarantine
