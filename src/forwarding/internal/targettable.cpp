#include "forwarding/targettable.h"

#include <algorithm>

namespace geraniumlift::forwarding {

namespace {

using namespace std::chrono_literals;

/// Beyond this time without use the engine has likely replaced a part.
constexpr auto PartLifetime = 20s;

/// Parts remembered for one target; more are dropped, oldest first.
constexpr auto MaxKeptParts = std::size_t{2048};

auto isSameRecord(const TargetRecord &Left, const TargetRecord &Right) -> bool {
  return Left.m_Pool == Right.m_Pool && Left.m_Address == Right.m_Address &&
         Left.m_Port == Right.m_Port && Left.m_IsLeaving == Right.m_IsLeaving &&
         Left.m_DataCentre == Right.m_DataCentre;
}

} // namespace

auto TargetState::keptTokens(const PromptFigures &Prompt, base::SteadyTime Now) const -> Tokens {
  auto Kept = Tokens{0};
  for (const auto &Part : Prompt.m_Parts) {
    const auto Found = m_KeptParts.find(Part.m_Id);
    if (Found == m_KeptParts.end() || Now - Found->second > PartLifetime) {
      break;
    }
    Kept += Part.m_Tokens;
  }
  return std::min(Kept, Prompt.m_PromptTokens);
}

auto TargetTable::put(const TargetRecord &Record) -> bool {
  const auto Found = m_Targets.find(Record.m_Id);
  if (Found == m_Targets.end()) {
    m_Targets.emplace(Record.m_Id, TargetState(Record));
    return true;
  }
  auto &State = Found->second;
  if (Record.m_Born != State.m_Record.m_Born) {
    // Requests sent to the former life still end; their load stays counted until then.
    const auto Own = State.m_Own;
    State = TargetState(Record);
    State.m_Own = Own;
    return true;
  }
  const auto Changed = !isSameRecord(State.m_Record, Record);
  State.m_Record = Record;
  return Changed;
}

auto TargetTable::remove(const std::string &Id) -> bool { return m_Targets.erase(Id) > 0; }

auto TargetTable::find(const std::string &Id) const -> const TargetState * {
  const auto Found = m_Targets.find(Id);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

auto TargetTable::serving(std::string_view Pool) const -> std::vector<const TargetState *> {
  auto Result = std::vector<const TargetState *>();
  for (const auto &[Id, State] : m_Targets) {
    if (State.m_Record.m_Pool == Pool && !State.m_Record.m_IsLeaving) {
      Result.push_back(&State);
    }
  }
  return Result;
}

auto TargetTable::noteSent(const std::string &Id, const PromptFigures *Prompt, Tokens ToRead,
                           base::SteadyTime Now) -> void {
  const auto Found = m_Targets.find(Id);
  if (Found == m_Targets.end()) {
    return;
  }
  auto &State = Found->second;
  ++State.m_Own.m_Active;
  if (Prompt == nullptr) {
    return;
  }
  State.m_Own.m_WaitingTokens += ToRead;
  if (State.m_KeptParts.size() > MaxKeptParts) {
    absl::erase_if(State.m_KeptParts,
                   [Now](const auto &Part) { return Now - Part.second > PartLifetime / 4; });
  }
  for (const auto &Part : Prompt->m_Parts) {
    State.m_KeptParts[Part.m_Id] = Now;
  }
}

auto TargetTable::noteAnswering(const std::string &Id, Tokens ToRead) -> void {
  const auto Found = m_Targets.find(Id);
  if (Found != m_Targets.end()) {
    auto &Own = Found->second.m_Own;
    Own.m_WaitingTokens = std::max<Tokens>(0, Own.m_WaitingTokens - ToRead);
  }
}

auto TargetTable::noteEnded(const std::string &Id) -> void {
  const auto Found = m_Targets.find(Id);
  if (Found != m_Targets.end()) {
    auto &Own = Found->second.m_Own;
    Own.m_Active = std::max<std::int64_t>(0, Own.m_Active - 1);
  }
}

auto TargetTable::noteSign(const std::string &Id, AttemptSign Sign, base::SteadyTime Now) -> void {
  const auto Found = m_Targets.find(Id);
  if (Found == m_Targets.end() || Sign == AttemptSign::Unknown) {
    return;
  }
  auto &State = Found->second;
  const auto Failed = Sign != AttemptSign::Good;
  State.m_FailureShare += m_Options.m_FailureGain * ((Failed ? 1.0 : 0.0) - State.m_FailureShare);
  if (!Failed) {
    State.m_FailuresInRow = 0;
    return;
  }
  ++State.m_FailuresInRow;
  // One broken answer among many good ones says little; a silent or unreachable target does.
  const auto IsDown = Sign == AttemptSign::Silent || State.m_FailuresInRow >= 2 ||
                      State.m_FailureShare > m_Options.m_TolerableFailures;
  if (IsDown) {
    const auto Doublings = std::min(State.m_FailuresInRow - 1, 5);
    const auto Break =
        std::min(m_Options.m_FirstBreak * (1 << Doublings), m_Options.m_LongestBreak);
    State.m_RestsUntil = std::max(State.m_RestsUntil, Now + Break);
  }
}

} // namespace geraniumlift::forwarding
