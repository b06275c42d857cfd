#pragma once

#include "quarantine/quarantinetypes.h"

#include <functional>
#include <optional>
#include <string_view>

namespace geraniumlift::quarantine {

/// The process that a request was sent to.
struct TargetProcess {
  std::string m_Id;

  /// Start of the process in milliseconds since 1970.
  std::int64_t m_Incarnation = 0;
  std::string m_Ip;
  std::uint16_t m_Port = 0;
};

/// Why a request must not be sent.
struct Block {
  /// The part's position among the shared parts of the prompt.
  std::size_t m_PartIndex = 0;

  /// Time after which the request may be tried again.
  std::chrono::milliseconds m_Left{0};
};

/// Hash of the workspace's name, for requests of a workspace and, with an empty name, for those
/// without one.
auto hashWorkspace(std::string_view Name) -> WorkspaceHash;

/// Hashes of the IDs of prompt parts.
auto hashParts(const std::vector<std::string> &Ids) -> std::vector<PartHash>;

/// Keeps requests away from targets that they would crash. Forwarding reports what happened to
/// requests with shared prompt parts and asks before it sends one.
class IPromptQuarantine {
public:
  virtual ~IPromptQuarantine() = default;

  /// Returns nothing if a request of the workspace with these shared parts may be sent.
  [[nodiscard]] virtual auto findBlock(WorkspaceHash Workspace, const std::vector<PartHash> &Parts)
      -> std::optional<Block> = 0;

  /// Records that a target has begun to answer a request with these parts.
  virtual auto onResponseBegun(const std::vector<PartHash> &Parts) -> void = 0;

  /// Records that a connection ended before the response to a request with these parts began. The
  /// target may have crashed.
  virtual auto onConnectionLost(const TargetProcess &Target, WorkspaceHash Workspace,
                                const std::vector<PartHash> &Parts) -> void = 0;
};

/// Tells whether a process still listens at an address.
class IListenerCheck {
public:
  virtual ~IListenerCheck() = default;

  /// Calls back once, after the call has returned: with false if the address refuses connections or
  /// does not answer.
  virtual auto checkListener(const std::string &Ip, std::uint16_t Port,
                             std::function<void(bool)> Done) -> void = 0;
};

} // namespace geraniumlift::quarantine
