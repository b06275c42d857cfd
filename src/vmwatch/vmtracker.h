#pragma once

#include "base/iclock.h"
#include "base/identifiers.h"
#include "keyvalue/keyvaluetypes.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace geraniumlift::vmwatch {

struct VmTrackerOptions {
  /// This router's own VM.
  std::string m_OwnVm;

  /// A VM must be absent from the list and silent for this long before it counts as removed. It
  /// covers the lag of the list; a VM that is being created may be heard before it is listed.
  std::chrono::milliseconds m_RemovalDelay{30'000};
};

/// Draws conclusions from the platform's VM list and the routers' heartbeats. Pure decision code;
/// the time is an argument.
class VmTracker {
public:
  explicit VmTracker(VmTrackerOptions Options);

  /// Takes a list that was read. A list without this router's own VM is out of date or wrong and is
  /// ignored.
  auto onVmList(const std::vector<keyvalue::VmEntry> &List, base::SteadyTime Now) -> void;

  /// Takes note that a router process was heard. It listens on its VM's peer address, so that every
  /// process with a lower incarnation on that VM has ended.
  auto onHeartbeat(const base::HolderId &Router, base::SteadyTime Now) -> void;

  /// Whether this router process provably cannot send anything any more: a newer process holds its
  /// address, or its VM was removed. Silence alone proves nothing.
  [[nodiscard]] auto hasEnded(const base::HolderId &Router, base::SteadyTime Now) const -> bool;

  /// Whether the VM is leaving, or was on the list and no longer is.
  [[nodiscard]] auto isLeaving(const std::string &Vm) const -> bool;

private:
  struct VmRecord {
    std::optional<base::SteadyTime> m_LastListed;
    std::optional<base::SteadyTime> m_LastHeard;
    std::uint64_t m_HighestIncarnation = 0;
    bool m_Listed = false;
    bool m_Leaving = false;
  };

  VmTrackerOptions m_Options;
  std::map<std::string, VmRecord> m_Vms;
  std::optional<base::SteadyTime> m_FirstList;
  std::optional<base::SteadyTime> m_LastList;
};

} // namespace geraniumlift::vmwatch
