#include "quarantine/quarantineservice.h"

#include "base/hashing.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

namespace geraniumlift::quarantine {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

/// Time for which further suspects of a confirmed crash are taken as such. The connections to a
/// target that has crashed all end within the time of a few lost packets.
constexpr auto ConfirmationValidity = std::chrono::seconds(5);

auto formatHash(std::uint64_t Hash) -> std::string { return fmt::format("{:016x}", Hash); }

/// Returns the answer that an update gives for a part, as its time.
auto answerIn(const QuarantineUpdate &Update, PartHash Part, base::SteadyTime Now)
    -> std::optional<base::SteadyTime> {
  for (const auto &Item : Update.m_Answers) {
    if (Item.m_Part == Part) {
      return Now - milliseconds(Item.m_AgeMs);
    }
  }
  return std::nullopt;
}

} // namespace

auto hashWorkspace(std::string_view Name) -> WorkspaceHash {
  return std::max<WorkspaceHash>(base::hash64(Name), 1);
}

auto hashParts(const std::vector<std::string> &Ids) -> std::vector<PartHash> {
  auto Result = std::vector<PartHash>();
  Result.reserve(Ids.size());
  for (const auto &Id : Ids) {
    Result.push_back(base::hash64(Id));
  }
  return Result;
}

QuarantineService::QuarantineService(ServiceOptions Options, keyvalue::ITransactionStore &Store,
                                     IListenerCheck &Listeners, base::ITimers &Timers,
                                     const base::IClock &Clock, base::IEventLog &Log)
    : m_Options(std::move(Options)), m_Store(Store), m_Listeners(Listeners), m_Timers(Timers),
      m_Clock(Clock), m_Log(Log), m_Random(m_Options.m_Seed), m_Attributor(m_Options.m_Attribution),
      m_List(m_Options.m_Quarantine) {}

auto QuarantineService::findBlock(WorkspaceHash Workspace, const std::vector<PartHash> &Parts)
    -> std::optional<Block> {
  if (m_Tentative.empty() && m_List.entries().empty()) {
    return std::nullopt;
  }
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    if (const auto *Item = m_List.find(Parts[Index], Workspace, now())) {
      return Block{Index, duration_cast<milliseconds>(Item->m_Until - now())};
    }
    if (m_Tentative.contains({Parts[Index], Workspace}) ||
        m_Tentative.contains({Parts[Index], AllWorkspaces})) {
      return Block{Index, m_List.termLength(1)};
    }
  }
  return std::nullopt;
}

auto QuarantineService::onResponseBegun(const std::vector<PartHash> &Parts) -> void {
  auto Update = QuarantineUpdate();
  for (const auto Part : Parts) {
    m_History.record(Part, now());
    const auto LastCrash = m_Attributor.lastCrash(Part);
    const auto LastAnswer = m_Attributor.lastAnswer(Part);
    const auto IsRefuted = LastCrash && LastAnswer && *LastAnswer > *LastCrash;
    const auto IsListed = !m_List.entries().empty() &&
                          m_List.entries().lower_bound({Part, 0}) != m_List.entries().end() &&
                          m_List.entries().lower_bound({Part, 0})->first.m_Part == Part;
    if ((LastCrash && !IsRefuted) || IsListed) {
      addAnswer(Part, now());
      Update.m_Answers.push_back({Part, 0});
    }
  }
  if (!Update.isEmpty()) {
    review();
    publish(std::move(Update));
  }
}

auto QuarantineService::addAnswer(PartHash Part, base::SteadyTime At) -> bool {
  const auto IsNew = m_Attributor.addAnswer(Part, At);
  for (const auto &[Key, Revision] : m_List.release(Part, At)) {
    m_Log.record(
        base::LogLevel::Warning, "part_released",
        {{"part", formatHash(Part)}, {"reason", "answered"}, {"answer_age_ms", ageMs(At)}});
    removeRecord(Key, Revision);
  }
  return IsNew;
}

auto QuarantineService::onConnectionLost(const TargetProcess &Target, WorkspaceHash Workspace,
                                         const std::vector<PartHash> &Parts) -> void {
  if (Parts.empty()) {
    return;
  }
  const auto Crash = base::hash64(fmt::format("{}/{}", Target.m_Id, Target.m_Incarnation));
  const auto IsConfirmed = m_ConfirmedCrashes.contains(Crash);
  const auto Item = Suspect{Crash, Workspace, Parts};
  for (const auto Part : Parts) {
    if (const auto Answered = m_History.lastAnswer(Part)) {
      m_Attributor.addAnswer(Part, *Answered);
    }
  }
  if (!m_Attributor.addSuspect(Item, now(), IsConfirmed)) {
    return;
  }
  review();
  if (IsConfirmed) {
    auto Update = QuarantineUpdate();
    Update.m_Suspects.push_back({Item, 0});
    publish(std::move(Update));
    return;
  }
  if (m_Checked.insert(Crash).second) {
    m_Listeners.checkListener(Target.m_Ip, Target.m_Port,
                              [this, Crash, Id = Target.m_Id](bool IsListening) {
                                onListenerChecked(Crash, Id, IsListening);
                              });
  }
}

auto QuarantineService::onListenerChecked(CrashId Crash, const std::string &TargetId,
                                          bool IsListening) -> void {
  m_Checked.erase(Crash);
  const auto Suspects = m_Attributor.suspectsOf(Crash);
  if (IsListening) {
    m_Attributor.dropUnconfirmedCrash(Crash);
    review();
    return;
  }
  m_Log.record(base::LogLevel::Warning, "target_crashed",
               {{"target", TargetId}, {"requests_without_answer", Suspects.size()}});
  m_Attributor.confirmCrash(Crash);
  m_ConfirmedCrashes[Crash] = now();
  auto Update = QuarantineUpdate();
  for (const auto &Item : Suspects) {
    if (Update.m_Suspects.size() < m_Options.m_MaxReportedSuspects) {
      Update.m_Suspects.push_back(toReport(Item));
    }
  }
  publish(std::move(Update));
  review();
}

auto QuarantineService::ageMs(base::SteadyTime Since) const -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(duration_cast<milliseconds>(now() - Since).count(), 0, UINT32_MAX));
}

auto QuarantineService::toReport(const CrashAttributor::TimedSuspect &Item) const
    -> ReportedSuspect {
  return {Item.m_Suspect, ageMs(Item.m_CrashedAt)};
}

auto QuarantineService::publish(QuarantineUpdate Update) -> void {
  if (Update.isEmpty() || !m_Publish) {
    return;
  }
  Update.m_Router = m_Options.m_Router;
  addKnownAnswers(Update);
  m_Publish(Update);
}

auto QuarantineService::addKnownAnswers(QuarantineUpdate &Update) const -> void {
  for (const auto &Item : Update.m_Suspects) {
    for (const auto Part : Item.m_Suspect.m_Parts) {
      const auto Answered = m_Attributor.lastAnswer(Part);
      if (Answered && !answerIn(Update, Part, now()) &&
          Update.m_Answers.size() < m_Options.m_MaxReportedAnswers) {
        Update.m_Answers.push_back({Part, ageMs(*Answered)});
      }
    }
  }
}

auto QuarantineService::onUpdate(const QuarantineUpdate &Update) -> QuarantineUpdate {
  auto New = QuarantineUpdate();
  New.m_Router = m_Options.m_Router;
  for (const auto &Item : Update.m_Suspects) {
    if (m_Attributor.addSuspect(Item.m_Suspect, now() - milliseconds(Item.m_AgeMs), true)) {
      New.m_Suspects.push_back(Item);
    }
  }
  for (const auto &Item : Update.m_Answers) {
    const auto At = now() - milliseconds(Item.m_AgeMs);
    const auto Known = m_Attributor.lastAnswer(Item.m_Part);
    const auto LastCrash = m_Attributor.lastCrash(Item.m_Part);
    if (!Known || (LastCrash && *Known <= *LastCrash && At > *LastCrash)) {
      New.m_Answers.push_back(Item);
    }
    addAnswer(Item.m_Part, At);
  }
  auto Reply = QuarantineUpdate();
  for (const auto &Item : Update.m_Quarantines) {
    const auto Since = now() - milliseconds(Item.m_AgeMs);
    const auto Answered = m_Attributor.lastAnswer(Item.m_Key.m_Part);
    if (Answered && *Answered > Since) {
      Reply.m_Answers.push_back({Item.m_Key.m_Part, ageMs(*Answered)});
      continue;
    }
    if (m_List.merge(Item.m_Key, {Since, now() + milliseconds(Item.m_LeftMs), Item.m_Terms, 0})) {
      New.m_Quarantines.push_back(Item);
      m_Log.record(base::LogLevel::Warning, "part_quarantined",
                   {{"part", formatHash(Item.m_Key.m_Part)},
                    {"workspace", formatHash(Item.m_Key.m_Workspace)},
                    {"source", Update.m_Router},
                    {"age_ms", Item.m_AgeMs},
                    {"left_ms", Item.m_LeftMs}});
    }
  }
  addRefutations(Update, Reply);
  review();
  publish(std::move(Reply));
  return New;
}

auto QuarantineService::addRefutations(const QuarantineUpdate &Update, QuarantineUpdate &Reply)
    -> void {
  for (const auto &Item : Update.m_Suspects) {
    const auto CrashedAt = now() - milliseconds(Item.m_AgeMs);
    for (const auto Part : Item.m_Suspect.m_Parts) {
      if (const auto Seen = m_History.lastAnswer(Part)) {
        m_Attributor.addAnswer(Part, *Seen);
      }
      const auto Known = m_Attributor.lastAnswer(Part);
      const auto Theirs = answerIn(Update, Part, now());
      const auto TellsMore = Known && (!Theirs || (*Theirs <= CrashedAt && *Known > CrashedAt));
      if (TellsMore && !answerIn(Reply, Part, now()) &&
          Reply.m_Answers.size() < m_Options.m_MaxReportedAnswers) {
        Reply.m_Answers.push_back({Part, ageMs(*Known)});
      }
    }
  }
}

auto QuarantineService::review() -> void {
  const auto Blamed = m_Attributor.blamedParts(CrashScope::All, now());
  auto Keys = std::set<PartKey>();
  for (const auto &[Key, Crashes] : Blamed) {
    if (m_List.contains(Key)) {
      continue;
    }
    Keys.insert(Key);
    const auto [Found, IsNew] = m_Tentative.try_emplace(Key, Tentative{now(), Crashes});
    Found->second.m_Crashes = Crashes;
    if (IsNew) {
      m_Log.record(base::LogLevel::Warning, "part_blocked",
                   {{"part", formatHash(Key.m_Part)},
                    {"workspace", formatHash(Key.m_Workspace)},
                    {"crashes", Crashes}});
    }
  }
  for (auto Item = m_Tentative.begin(); Item != m_Tentative.end();) {
    if (Keys.contains(Item->first)) {
      ++Item;
      continue;
    }
    if (!m_List.contains(Item->first)) {
      m_Log.record(base::LogLevel::Warning, "part_released",
                   {{"part", formatHash(Item->first.m_Part)},
                    {"reason", "evidence refuted or expired"},
                    {"blocked_ms", ageMs(Item->second.m_Since)}});
    }
    Item = m_Tentative.erase(Item);
  }
}

auto QuarantineService::confirmTentative() -> void {
  const auto Blamed = m_Attributor.blamedParts(CrashScope::Confirmed, now());
  auto Update = QuarantineUpdate();
  for (auto Item = m_Tentative.begin(); Item != m_Tentative.end();) {
    const auto &Key = Item->first;
    const auto &State = Item->second;
    const auto IsBlamed = std::any_of(Blamed.begin(), Blamed.end(),
                                      [&Key](const auto &Part) { return Part.m_Key == Key; });
    if (!IsBlamed || now() - State.m_Since < m_Options.m_ConfirmationTime) {
      ++Item;
      continue;
    }
    const auto &Begun = m_List.begin(Key, now());
    m_Log.record(base::LogLevel::Warning, "part_quarantined",
                 {{"part", formatHash(Key.m_Part)},
                  {"workspace", formatHash(Key.m_Workspace)},
                  {"source", "own decision"},
                  {"crashes", State.m_Crashes},
                  {"term", Begun.m_Terms},
                  {"left_ms", m_List.termLength(Begun.m_Terms).count()}});
    Update.m_Quarantines.push_back(toReport(Key, Begun));
    Item = m_Tentative.erase(Item);
  }
  publish(std::move(Update));
}

auto QuarantineService::toReport(const PartKey &Key, const Quarantine &Item) const
    -> ReportedQuarantine {
  const auto Left = duration_cast<milliseconds>(Item.m_Until - now()).count();
  return {Key, Item.m_Terms, ageMs(Item.m_Since),
          static_cast<std::uint32_t>(std::max<std::int64_t>(Left, 0))};
}

auto QuarantineService::advance(bool MayWrite) -> void {
  m_MayWrite = MayWrite;
  m_Attributor.removeExpired(now());
  std::erase_if(m_ConfirmedCrashes,
                [this](const auto &Item) { return now() - Item.second > ConfirmationValidity; });
  for (const auto &[Key, Item] : m_List.takeExpired(now())) {
    m_Attributor.distrust(Key, now() + m_List.termLength(Item.m_Terms));
    m_Log.record(
        base::LogLevel::Warning, "part_released",
        {{"part", formatHash(Key.m_Part)}, {"reason", "term over"}, {"term", Item.m_Terms}});
    removeRecord(Key, Item.m_RecordRevision);
  }
  review();
  if (!m_Tentative.empty()) {
    confirmTentative();
  }
  for (const auto &[Key, Item] : m_List.entries()) {
    if (m_MayWrite && Item.m_RecordRevision == 0 && m_Writing.insert(Key).second) {
      const auto Spread = boost::random::uniform_int_distribution<std::int64_t>(
          0, m_Options.m_MaxWriteDelay.count())(m_Random);
      scheduleWrite(Key, milliseconds(Spread));
    }
  }
}

auto QuarantineService::scheduleWrite(const PartKey &Key, milliseconds Delay) -> void {
  m_Timers.start(now() + Delay, [this, Key] { writeRecord(Key); });
}

auto QuarantineService::writeRecord(const PartKey &Key) -> void {
  const auto Found = m_List.entries().find(Key);
  if (Found == m_List.entries().end() || Found->second.m_RecordRevision != 0 || !m_MayWrite) {
    m_Writing.erase(Key);
    return;
  }
  const auto Left = duration_cast<milliseconds>(Found->second.m_Until - now());
  auto Request = keyvalue::Transaction();
  Request.m_Conditions.push_back({recordKey(Key), keyvalue::AbsentRevision});
  Request.m_Writes.push_back({recordKey(Key), encodeRecord({Key, Found->second.m_Terms,
                                                            std::max(Left, milliseconds(1))})});
  m_Store.transact(std::move(Request), [this, Key](const keyvalue::TransactionResult &Result) {
    if (Result.m_Outcome == keyvalue::TransactionOutcome::Applied) {
      m_List.setRecordRevision(Key, Result.m_Revision);
    }
    for (const auto &Item : Result.m_Current) {
      m_List.setRecordRevision(Key, Item.m_ModRevision);
    }
    const auto IsKnown = !m_List.contains(Key) || m_List.entries().at(Key).m_RecordRevision != 0;
    if (IsKnown) {
      m_Writing.erase(Key);
      return;
    }
    scheduleWrite(Key, m_Options.m_WriteRetryDelay);
  });
}

auto QuarantineService::removeRecord(const PartKey &Key, std::int64_t Revision) -> void {
  if (Revision == 0 || !m_MayWrite) {
    return;
  }
  auto Request = keyvalue::Transaction();
  Request.m_Conditions.push_back({recordKey(Key), Revision});
  Request.m_Removals.push_back(recordKey(Key));
  m_Store.transact(std::move(Request),
                   [this, Key, Revision](const keyvalue::TransactionResult &Result) {
                     if (Result.m_Outcome == keyvalue::TransactionOutcome::NotDone ||
                         Result.m_Outcome == keyvalue::TransactionOutcome::Unknown) {
                       m_Timers.start(now() + m_Options.m_WriteRetryDelay,
                                      [this, Key, Revision] { removeRecord(Key, Revision); });
                     }
                   });
}

auto QuarantineService::takeReport() -> std::optional<QuarantineUpdate> {
  if (now() - m_LastReport < m_Options.m_ReportInterval) {
    return std::nullopt;
  }
  m_LastReport = now();
  auto Update = QuarantineUpdate();
  Update.m_Router = m_Options.m_Router;
  for (const auto &Item : m_Attributor.openSuspects(m_List.keys())) {
    if (Update.m_Suspects.size() < m_Options.m_MaxReportedSuspects) {
      Update.m_Suspects.push_back(toReport(Item));
    }
  }
  addKnownAnswers(Update);
  for (const auto &[Key, Item] : m_List.entries()) {
    if (Update.m_Quarantines.size() < m_Options.m_MaxReportedQuarantines) {
      Update.m_Quarantines.push_back(toReport(Key, Item));
    }
  }
  return Update.isEmpty() ? std::nullopt : std::optional(std::move(Update));
}

auto QuarantineService::onRecordChanged(const keyvalue::KeyValue &Item) -> void {
  const auto Record = decodeRecord(Item.m_Value);
  if (!Record.ok() || recordKey(Record->m_Key) != Item.m_Key) {
    m_Log.record(base::LogLevel::Warning, "quarantine_record_unreadable",
                 {{"key", Item.m_Key},
                  {"reason", Record.ok() ? "the key does not fit the record"
                                         : std::string(Record.status().message())}});
    return;
  }
  if (m_List.contains(Record->m_Key)) {
    m_List.setRecordRevision(Record->m_Key, Item.m_ModRevision);
    return;
  }
  const auto Answered = m_Attributor.lastAnswer(Record->m_Key.m_Part);
  const auto LastCrash = m_Attributor.lastCrash(Record->m_Key.m_Part);
  if (Answered && LastCrash && *Answered > *LastCrash) {
    removeRecord(Record->m_Key, Item.m_ModRevision);
    return;
  }
  const auto Length = std::min(Record->m_Length, m_Options.m_Quarantine.m_MaxTerm);
  m_List.merge(Record->m_Key, {now(), now() + Length, Record->m_Terms, Item.m_ModRevision});
  m_Tentative.erase(Record->m_Key);
  m_Log.record(base::LogLevel::Warning, "part_quarantined",
               {{"part", formatHash(Record->m_Key.m_Part)},
                {"workspace", formatHash(Record->m_Key.m_Workspace)},
                {"source", "store"},
                {"revision", Item.m_ModRevision},
                {"left_ms", Length.count()}});
}

auto QuarantineService::onRecordRemoved(const std::string &Key) -> void {
  for (const auto &[Part, Item] : m_List.entries()) {
    if (recordKey(Part) == Key) {
      m_Log.record(base::LogLevel::Warning, "part_released",
                   {{"part", formatHash(Part.m_Part)}, {"reason", "record removed"}});
      m_List.remove(PartKey(Part));
      return;
    }
  }
}

auto QuarantineService::blockedParts() const -> std::size_t {
  return m_Tentative.size() + m_List.entries().size();
}

} // namespace geraniumlift::quarantine
