#pragma once

#include "base/identifiers.h"
#include "base/nametable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumlift::objects {

enum class TargetKind { Engine, Service };

inline constexpr auto TargetKindNames = std::array{
    base::NamedValue<TargetKind>{TargetKind::Engine, "engine"},
    base::NamedValue<TargetKind>{TargetKind::Service, "service"},
};

/// A prepaid budget. Its balance is not part of the object: top-ups go to the budget's record.
struct Budget {
  std::string m_Name;

  /// Limit on the tokens that one router holds beyond its reservations. It bounds the tokens that
  /// are unavailable after a router is lost.
  std::optional<base::Tokens> m_MaxGrantTokens = std::nullopt;

  auto operator==(const Budget &) const -> bool = default;
};

/// A priority class. Classes of a lower level are served first; the guaranteed share keeps a class
/// of a higher level from starving.
struct PriorityClass {
  std::string m_Name;
  std::int64_t m_Level = 0;

  /// Fraction of a pool's tokens that this class gets whenever it has requests waiting, 0 to 1.
  double m_GuaranteedShare = 0.0;

  auto operator==(const PriorityClass &) const -> bool = default;
};

/// A workspace. Its callers are identified by API keys, of which only SHA-256 hashes are stored.
struct Workspace {
  std::string m_Name;
  std::string m_Budget;
  std::string m_PriorityClass;

  /// Share of tokens relative to other workspaces of the class.
  double m_Weight = 1.0;

  /// SHA-256 of each API key, 64 lower-case hexadecimal digits.
  std::vector<std::string> m_KeyHashes;

  auto operator==(const Workspace &) const -> bool = default;
};

/// A pool of interchangeable targets.
struct ModelPool {
  std::string m_Name;
  TargetKind m_Kind = TargetKind::Engine;

  /// Models that an engine pool serves; empty for services.
  std::vector<std::string> m_Models;

  /// Whether a request may be run more than once. Engine pools are always idempotent.
  bool m_Idempotent = true;

  /// Fixed price of a call to a service, in tokens.
  base::Tokens m_TokensPerCall = 0;

  /// Pool of the same kind that receives the requests when this pool has no usable target.
  std::optional<std::string> m_FallbackPool = std::nullopt;

  auto operator==(const ModelPool &) const -> bool = default;
};

/// A target: an engine or a service that serves requests of one pool.
struct Target {
  std::string m_Name;
  std::string m_Pool;

  /// Base URL with an IP address, such as http://127.0.0.1:9001.
  std::string m_Url;
  std::string m_DataCentre;

  /// Name of the target's VM in the VM list; empty if the target is not on the list.
  std::string m_Vm;

  /// Number of requests that the target runs at the same time.
  std::int64_t m_Slots = 8;

  /// Whether the target rejects orders with an outdated fencing number.
  bool m_ChecksFencing = false;

  /// Set by operators to take the target out of service.
  bool m_Leaving = false;

  auto operator==(const Target &) const -> bool = default;
};

/// All objects of one published generation; the objects of each kind by name.
struct ObjectSet {
  std::map<std::string, Budget> m_Budgets;
  std::map<std::string, PriorityClass> m_PriorityClasses;
  std::map<std::string, Workspace> m_Workspaces;
  std::map<std::string, ModelPool> m_ModelPools;
  std::map<std::string, Target> m_Targets;

  auto operator==(const ObjectSet &) const -> bool = default;
};

/// A mistake in the operators' files.
struct ObjectError {
  std::string m_File;
  std::int64_t m_Line = 0;

  /// Path of the field, such as workspace.office.budget.
  std::string m_Field;
  std::string m_Message;
};

} // namespace geraniumlift::objects
