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
  /// Name of the VM that this router runs on.
  std::string m_OwnVm;

  /// A VM counts as removed after it has been absent from the list and without heartbeats for this
  /// long. Covers the lag of the list; heartbeats of a new VM may arrive before it is listed.
  std::chrono::milliseconds m_RemovalDelay{30'000};
};

/// Tracks VMs and router processes by the platform's VM list and the routers' heartbeats. Performs
/// no I/O and reads no clock; the time is an argument. Not thread-safe.
class VmTracker {
public:
  explicit VmTracker(VmTrackerOptions Options);

  /// Processes a VM list from the platform. A list without this router's own VM is outdated or
  /// wrong and is ignored.
  auto onVmList(const std::vector<keyvalue::VmEntry> &List, base::SteadyTime Now) -> void;

  /// Records a heartbeat of a router process. The process listens on its VM's peer address, so
  /// every process with a lower incarnation on that VM has ended.
  auto onHeartbeat(const base::HolderId &Router, base::SteadyTime Now) -> void;

  /// Whether this router process has provably ended and cannot send anything any more: a newer
  /// process listens on its address, or its VM was removed. Missing heartbeats alone prove nothing.
  [[nodiscard]] auto hasEnded(const base::HolderId &Router, base::SteadyTime Now) const -> bool;

  /// Whether the VM is listed as leaving, or was listed before and no longer is. False for a VM
  /// that was never listed.
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
