#pragma once

#include "base/iclock.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace geraniumlift::quarantine {

/// Hash of the ID of a prompt part.
using PartHash = std::uint64_t;

/// Hash of the name of a workspace; never AllWorkspaces.
using WorkspaceHash = std::uint64_t;

/// Stands for every workspace in a PartKey.
inline constexpr auto AllWorkspaces = WorkspaceHash{0};

/// Identifies the end of one target process: a hash of the target's ID and incarnation.
using CrashId = std::uint64_t;

/// A prompt part as it is used by one workspace. A quarantine holds for one workspace, so that a
/// caller cannot have the prompts of others refused.
struct PartKey {
  PartHash m_Part = 0;
  WorkspaceHash m_Workspace = AllWorkspaces;

  auto operator==(const PartKey &) const -> bool = default;
  auto operator<(const PartKey &Other) const -> bool {
    return std::pair(m_Part, m_Workspace) < std::pair(Other.m_Part, Other.m_Workspace);
  }
};

/// A request that was waiting for the first event of its response when its target crashed.
struct Suspect {
  CrashId m_Crash = 0;
  WorkspaceHash m_Workspace = AllWorkspaces;

  /// The shared parts of its prompt, in prompt order.
  std::vector<PartHash> m_Parts;

  auto operator==(const Suspect &) const -> bool = default;
};

/// A suspect and the milliseconds since the crash.
struct ReportedSuspect {
  Suspect m_Suspect;
  std::uint32_t m_AgeMs = 0;
};

/// The milliseconds since a target last began to answer a request with a part.
struct ReportedAnswer {
  PartHash m_Part = 0;
  std::uint32_t m_AgeMs = 0;
};

/// A quarantine that has been confirmed.
struct ReportedQuarantine {
  PartKey m_Key;

  /// How often the part has been put into quarantine, this time included.
  std::uint32_t m_Terms = 0;

  /// Milliseconds since its begin and until its end.
  std::uint32_t m_AgeMs = 0;
  std::uint32_t m_LeftMs = 0;
};

/// What one router tells others.
struct QuarantineUpdate {
  std::string m_Router;
  std::vector<ReportedSuspect> m_Suspects;
  std::vector<ReportedAnswer> m_Answers;
  std::vector<ReportedQuarantine> m_Quarantines;

  [[nodiscard]] auto isEmpty() const -> bool {
    return m_Suspects.empty() && m_Answers.empty() && m_Quarantines.empty();
  }
};

/// Encodes an update in cereal's portable binary format.
auto encodeUpdate(const QuarantineUpdate &Update) -> std::string;

/// Returns InvalidArgument if the bytes are not an encoded update. Safe for untrusted input.
auto decodeUpdate(std::string_view Bytes) -> absl::StatusOr<QuarantineUpdate>;

/// Key prefix of the records of quarantines in the store.
inline constexpr std::string_view QuarantinePrefix = "geraniumlift/quarantine/";

/// A quarantine as stored, so that it outlasts all router processes.
struct QuarantineRecord {
  PartKey m_Key;
  std::uint32_t m_Terms = 0;

  /// Length of the quarantine. Readers count it from when they read the record, since the clocks of
  /// the routers' VMs differ.
  std::chrono::milliseconds m_Length{0};
};

/// Key of the record of a part.
auto recordKey(const PartKey &Key) -> std::string;
auto encodeRecord(const QuarantineRecord &Record) -> std::string;

/// Returns InvalidArgument if the text is not an encoded record. Safe for untrusted input.
auto decodeRecord(std::string_view Text) -> absl::StatusOr<QuarantineRecord>;

} // namespace geraniumlift::quarantine
