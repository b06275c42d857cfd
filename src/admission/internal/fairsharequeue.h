#pragma once

#include "admission/internal/iworkqueue.h"

#include <map>
#include <unordered_map>

namespace geraniumlift::admission {

/// Shares a pool by tokens. Among the classes with waiting work, those that got less than their
/// guaranteed share of the recent tokens go first, then the lowest level. Within a class,
/// workspaces share by weight (start-time fair queueing: each has a virtual time that grows with
/// its tokens over its weight, and the earliest goes first). Within a workspace the order of
/// arrival counts.
class FairShareQueue final : public IWorkQueue {
public:
  auto push(QueueEntry Entry) -> void override;
  auto next(Lane Lane) -> std::optional<WorkId> override;
  auto take(WorkId Id) -> void override;
  auto drop(WorkId Id) -> void override;
  [[nodiscard]] auto secondsAhead(const QueueEntry &Entry) const -> double override;
  [[nodiscard]] auto size() const -> std::size_t override { return m_Places.size(); }

private:
  /// Expected slot seconds of waiting requests.
  struct Backlog {
    double m_All = 0.0;
    double m_Short = 0.0;

    auto add(const QueueEntry &Entry) -> void;
    auto remove(const QueueEntry &Entry) -> void;

    /// What delays a request: short ones pass long ones, which wait for slots that are not kept
    /// free.
    [[nodiscard]] auto aheadOf(const QueueEntry &Entry) const -> double {
      return Entry.m_Short ? m_Short : m_All;
    }
  };

  /// The waiting requests of one workspace by order of arrival.
  struct Flow {
    double m_Weight = 1.0;
    double m_VirtualStart = 0.0;
    Backlog m_Backlog;
    std::map<std::uint64_t, QueueEntry> m_Short;
    std::map<std::uint64_t, QueueEntry> m_Long;
  };

  struct PriorityGroup {
    std::int64_t m_Level = 0;
    double m_GuaranteedShare = 0.0;

    /// Recent tokens; older ones count less.
    double m_Tokens = 0.0;
    double m_VirtualTime = 0.0;
    Backlog m_Backlog;
    std::map<std::string, Flow> m_Flows;
  };

  struct Place {
    std::string m_Class;
    std::string m_Workspace;
    std::uint64_t m_Order = 0;
    bool m_Short = false;
  };

  static auto firstOf(const Flow &Flow, Lane Lane)
      -> const std::pair<const std::uint64_t, QueueEntry> *;
  static auto earliestFlow(const PriorityGroup &Group, Lane Lane) -> const Flow *;
  auto totalTokens() const -> double;
  auto charge(PriorityGroup &Group, Flow &Flow, const QueueEntry &Entry) -> void;

  /// Takes the entry out; a flow without entries stays, as its virtual time is needed.
  auto extract(const Place &Place) -> QueueEntry;

  std::uint64_t m_NextOrder = 0;
  std::map<std::string, PriorityGroup> m_Groups;
  std::unordered_map<WorkId, Place> m_Places;
};

} // namespace geraniumlift::admission
