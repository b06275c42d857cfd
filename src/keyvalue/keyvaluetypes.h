#pragma once

#include "base/nametable.h"

#include <absl/status/status.h>
#include <cstdint>
#include <optional>
#include <string>

namespace geraniumlift::keyvalue {

/// A key's value with the revisions at which the key was created and last written.
struct KeyValue {
  std::string m_Key;
  std::string m_Value;
  std::int64_t m_CreateRevision = 0;
  std::int64_t m_ModRevision = 0;
};

using LeaseId = std::int64_t;

/// The expected revision that stands for a key that must not exist.
inline constexpr std::int64_t AbsentRevision = 0;

/// A write that takes effect only if the key was last written at the expected revision.
struct CompareAndSwap {
  std::string m_Key;
  std::int64_t m_ExpectedModRevision = AbsentRevision;
  std::string m_Value;

  /// The key is removed when this lease ends.
  std::optional<LeaseId> m_Lease = std::nullopt;
};

/// Outcome of a conditional write. Unknown means that the service may or may not have applied it.
enum class WriteOutcome { Applied, Conflict, Unknown };

inline constexpr auto WriteOutcomeNames = std::array{
    base::NamedValue<WriteOutcome>{WriteOutcome::Applied, "landed"},
    base::NamedValue<WriteOutcome>{WriteOutcome::Conflict, "conflict"},
    base::NamedValue<WriteOutcome>{WriteOutcome::Unknown, "unknown"},
};

struct WriteResult {
  WriteOutcome m_Outcome = WriteOutcome::Unknown;

  /// The revision of the write, after Applied.
  std::int64_t m_ModRevision = 0;

  /// The current entry of the key, after Conflict; nullopt if the key does not exist.
  std::optional<KeyValue> m_Current = std::nullopt;

  /// Why the outcome is Unknown.
  absl::Status m_Status = absl::OkStatus();
};

enum class VmState { Live, Leaving };

inline constexpr auto VmStateNames = std::array{
    base::NamedValue<VmState>{VmState::Live, "live"},
    base::NamedValue<VmState>{VmState::Leaving, "leaving"},
};

/// One entry of the platform's VM list, which lags behind the actual state.
struct VmEntry {
  std::string m_Name;
  VmState m_State = VmState::Live;
};

/// Kinds of calls to the key-value service. Every call is counted, a waiting watch as one.
enum class CallKind { Read, Write, Lease, Watch };

inline constexpr auto CallKindNames = std::array{
    base::NamedValue<CallKind>{CallKind::Read, "read"},
    base::NamedValue<CallKind>{CallKind::Write, "write"},
    base::NamedValue<CallKind>{CallKind::Lease, "lease"},
    base::NamedValue<CallKind>{CallKind::Watch, "watch"},
};

} // namespace geraniumlift::keyvalue
