#pragma once

#include "forwarding/routingtable.h"
#include "forwarding/targettable.h"

#include <absl/status/statusor.h>

namespace geraniumlift::router {

/// Kind of the document stored under a key.
enum class DocumentKind { Routing, Target, Evacuation, Other };

/// Decodes the documents that operators and targets write to the store.
class IStoreDocumentDecoder {
public:
  virtual ~IStoreDocumentDecoder() = default;

  [[nodiscard]] virtual auto kindOf(std::string_view Key) const -> DocumentKind = 0;

  /// Prefix of the keys that operators write: the configuration and the evacuations.
  [[nodiscard]] virtual auto operatorPrefix() const -> std::string = 0;

  /// Prefix of the keys that hold the registrations of targets.
  [[nodiscard]] virtual auto targetPrefix() const -> std::string = 0;

  /// The data centre whose targets are to get no requests while a key of kind Evacuation exists.
  [[nodiscard]] virtual auto evacuatedDataCentre(std::string_view Key) const -> std::string = 0;

  /// The target's ID, taken from a key of kind Target.
  [[nodiscard]] virtual auto targetIdOf(std::string_view Key) const -> std::string = 0;

  /// Both return InvalidArgument, with the cause, if the text is not a valid document.
  [[nodiscard]] virtual auto decodeRouting(std::string_view Text) const
      -> absl::StatusOr<forwarding::RoutingTablePtr> = 0;
  [[nodiscard]] virtual auto decodeTarget(std::string_view Key, std::string_view Text) const
      -> absl::StatusOr<forwarding::TargetRecord> = 0;
};

/// What a caller tells the directory about itself; empty where it does not.
struct DirectoryLookup {
  /// Host of the routes that the caller wants to use.
  std::string m_Host;
  std::string m_Region;
};

/// The protocol of the directory, where callers look up routers, and of the readiness check.
class IDirectoryProtocol {
public:
  virtual ~IDirectoryProtocol() = default;

  /// Whether the request is a lookup of the routers' addresses.
  [[nodiscard]] virtual auto isDirectoryRequest(const http1::RequestHead &Head) const -> bool = 0;

  /// Decodes a lookup.
  [[nodiscard]] virtual auto decodeLookup(const http1::RequestHead &Head) const
      -> DirectoryLookup = 0;

  /// Body of the directory's response; callers may cache it for the time to live.
  [[nodiscard]] virtual auto encodeAddresses(const std::vector<std::string> &Addresses,
                                             std::chrono::milliseconds TimeToLive) const
      -> std::string = 0;

  /// Whether the request is a readiness check.
  [[nodiscard]] virtual auto isReadinessRequest(const http1::RequestHead &Head) const -> bool = 0;
};

} // namespace geraniumlift::router
