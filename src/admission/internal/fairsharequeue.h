#pragma once

#include "admission/internal/iworkqueue.h"

#include <map>
#include <unordered_map>

namespace geraniumlift::admission {

/// Shares the tokens of a pool. Among the priority classes with waiting requests, those that got
/// less than their guaranteed share of the recent tokens go first, then the one with the lowest
/// level. Within a class, workspaces share by weight (start-time fair queueing: each has a virtual
/// time that grows with its tokens divided by its weight, and the earliest goes first). Within a
/// workspace, requests go in the order of arrival.
class FairShareQueue final : public IWorkQueue {
public:
  auto push(QueueEntry Entry) -> void override;
  auto peek(EntryFilter Filter) -> std::optional<WorkId> override;
  auto removeAndCharge(WorkId Id) -> void override;
  auto remove(WorkId Id) -> void override;
  [[nodiscard]] auto slotSecondsAhead(const QueueEntry &Entry) const -> double override;
  [[nodiscard]] auto size() const -> std::size_t override { return m_Locations.size(); }

private:
  /// Expected slot seconds of waiting requests.
  struct Backlog {
    double m_AllSeconds = 0.0;
    double m_ShortSeconds = 0.0;

    auto add(const QueueEntry &Entry) -> void;
    auto remove(const QueueEntry &Entry) -> void;

    /// Slot seconds that delay a request. Short requests overtake long ones, which wait for slots
    /// that are not kept free for short requests.
    [[nodiscard]] auto slotSecondsAheadOf(const QueueEntry &Entry) const -> double {
      return Entry.m_Short ? m_ShortSeconds : m_AllSeconds;
    }
  };

  /// The waiting requests of one workspace, by sequence number, and its virtual time.
  struct Flow {
    double m_Weight = 1.0;
    double m_VirtualStart = 0.0;
    Backlog m_Backlog;
    std::map<std::uint64_t, QueueEntry> m_ShortEntries;
    std::map<std::uint64_t, QueueEntry> m_LongEntries;
  };

  /// The waiting requests of one priority class, by workspace, and its token use.
  struct PriorityClass {
    std::int64_t m_Level = 0;
    double m_GuaranteedShare = 0.0;

    /// Tokens of recently dispatched requests; the weight of older ones decays.
    double m_Tokens = 0.0;
    double m_VirtualTime = 0.0;
    Backlog m_Backlog;
    std::map<std::string, Flow> m_Flows;
  };

  /// Where a waiting request is stored.
  struct Location {
    std::string m_Class;
    std::string m_Workspace;
    std::uint64_t m_Sequence = 0;
    bool m_Short = false;
  };

  /// First entry of a workspace that matches the filter; null if there is none.
  static auto firstEntry(const Flow &Flow, EntryFilter Filter)
      -> const std::pair<const std::uint64_t, QueueEntry> *;
  static auto earliestFlow(const PriorityClass &Class, EntryFilter Filter) -> const Flow *;
  auto totalTokens() const -> double;
  auto chargeTokens(PriorityClass &Class, Flow &Flow, const QueueEntry &Entry) -> void;

  /// Removes and returns an entry. A flow without entries is kept, as its virtual time is needed.
  auto extractEntry(const Location &Location) -> QueueEntry;

  std::uint64_t m_NextSequence = 0;
  std::map<std::string, PriorityClass> m_Classes;
  std::unordered_map<WorkId, Location> m_Locations;
};

} // namespace geraniumlift::admission
