#pragma once

#include "forwarding/routingtable.h"
#include "forwarding/targettable.h"

#include <absl/status/statusor.h>

namespace geraniumlift::router {

/// What a key of the store holds.
enum class DocumentKind { Routing, Target, Other };

/// Decodes the documents that operators and targets keep in the store.
class IStoreDocumentDecoder {
public:
  virtual ~IStoreDocumentDecoder() = default;

  [[nodiscard]] virtual auto kindOf(std::string_view Key) const -> DocumentKind = 0;

  /// Prefixes of the keys that hold the configuration and the registrations of targets.
  [[nodiscard]] virtual auto routingPrefix() const -> std::string = 0;
  [[nodiscard]] virtual auto targetPrefix() const -> std::string = 0;

  /// The target's ID in a key of kind Target.
  [[nodiscard]] virtual auto targetIdOf(std::string_view Key) const -> std::string = 0;

  /// InvalidArgument says why the text is no valid document.
  [[nodiscard]] virtual auto decodeRouting(std::string_view Text) const
      -> absl::StatusOr<forwarding::RoutingTablePtr> = 0;
  [[nodiscard]] virtual auto decodeTarget(std::string_view Key, std::string_view Text) const
      -> absl::StatusOr<forwarding::TargetRecord> = 0;
};

/// Speaks with callers that look for a router.
class IDirectoryProtocol {
public:
  virtual ~IDirectoryProtocol() = default;

  /// Whether the request asks for the routers' addresses.
  [[nodiscard]] virtual auto isDirectoryRequest(const http1::RequestHead &Head) const -> bool = 0;
  [[nodiscard]] virtual auto encodeAddresses(const std::vector<std::string> &Addresses,
                                             std::chrono::milliseconds TimeToLive) const
      -> std::string = 0;

  /// Whether the request asks if the router is ready.
  [[nodiscard]] virtual auto isReadinessRequest(const http1::RequestHead &Head) const -> bool = 0;
};

} // namespace geraniumlift::router
