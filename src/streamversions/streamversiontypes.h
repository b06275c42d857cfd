#pragma once

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace geraniumlift::streamversions {

/// Identifies a stream by its workspace and the ID of the request that began it.
using StreamKey = std::uint64_t;

/// Returns the key of the stream that a request of the workspace has begun. Streams of other
/// workspaces never have the same key, whatever ID their requests name.
auto streamKey(std::string_view Workspace, std::string_view RequestId) -> StreamKey;

/// Where a stream began.
struct StreamOrigin {
  std::string m_Pool;

  /// Software version of the target that sent the first event.
  std::string m_Version;

  auto operator==(const StreamOrigin &) const -> bool = default;
};

/// The stored record of a pool: versions on which streams that may still continue have begun, or
/// may begin.
struct VersionRecord {
  std::string m_Pool;
  std::set<std::string> m_Versions;

  /// Revision of the store at which the record was written; 0 if there is none.
  std::int64_t m_Revision = 0;

  auto operator==(const VersionRecord &) const -> bool = default;
};

/// Tells another router where a stream began.
struct OriginReport {
  StreamKey m_Key = 0;
  StreamOrigin m_Origin;

  auto operator==(const OriginReport &) const -> bool = default;
};

/// Several reports in one datagram.
struct OriginReports {
  std::vector<OriginReport> m_Reports;

  auto operator==(const OriginReports &) const -> bool = default;
};

/// Asks another router where a stream began.
struct OriginQuery {
  std::string m_Router;

  /// Identifies the query to the router that sent it.
  std::uint64_t m_Id = 0;
  StreamKey m_Key = 0;

  auto operator==(const OriginQuery &) const -> bool = default;
};

/// Answers an OriginQuery.
struct OriginReply {
  std::uint64_t m_Id = 0;
  bool m_IsKnown = false;
  StreamOrigin m_Origin;

  auto operator==(const OriginReply &) const -> bool = default;
};

/// Tells other routers of a record that the sender has read or written.
struct RecordUpdate {
  std::string m_Router;
  VersionRecord m_Record;

  auto operator==(const RecordUpdate &) const -> bool = default;
};

using StreamMessage = std::variant<OriginReports, OriginQuery, OriginReply, RecordUpdate>;

/// Encodes a message in cereal's portable binary format.
auto encodeMessage(const StreamMessage &Message) -> std::string;

/// InvalidArgument if the bytes are no such message. Accepts any input.
auto decodeMessage(std::string_view Bytes) -> absl::StatusOr<StreamMessage>;

/// Encodes origins of streams for the store.
auto encodeOrigins(const std::vector<OriginReport> &Reports) -> std::string;

/// InvalidArgument if the text holds no origins. Accepts any input.
auto decodeOrigins(std::string_view Text) -> absl::StatusOr<std::vector<OriginReport>>;

/// Encodes the versions of a record for the store.
auto encodeVersions(const std::set<std::string> &Versions) -> std::string;

/// InvalidArgument if the text is no such record. Accepts any input.
auto decodeVersions(std::string_view Text) -> absl::StatusOr<std::set<std::string>>;

} // namespace geraniumlift::streamversions
