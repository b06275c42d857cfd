#pragma once

#include "base/iclock.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace geraniumlift::ratelimits {

/// Identifies one process of a target: a hash of its ID and incarnation.
using TargetKey = std::uint64_t;

/// Returns the key of a target's process; Incarnation is its start in milliseconds since 1970.
auto targetKey(std::string_view TargetId, std::int64_t Incarnation) -> TargetKey;

/// What a target said about its limit at some time.
struct LimitStatement {
  /// Requests a second from all routers together; nothing if the target named no limit.
  std::optional<double> m_PerSecond;
  base::SteadyTime m_StatedAt;
};

/// A statement in a message.
struct ReportedLimit {
  TargetKey m_Target = 0;

  /// Thousandths of a request a second; NoLimit if the target named none.
  std::uint32_t m_PerThousandSeconds = 0;

  /// Milliseconds since the target said so.
  std::uint32_t m_AgeMs = 0;
};

/// What a cold target tolerates from all routers together. A target is cold for a while after its
/// start, and crashes if it gets much more.
struct ColdAllowance {
  double m_PerSecond = 0.0;

  /// Requests that may be sent at once after a time without any.
  double m_Burst = 1.0;

  /// When the target is no longer cold.
  base::SteadyTime m_Until;
};

/// Returns what a cold target may get if it tolerates PerSecond, and the fleet may exceed that by
/// the factor Overage and by Slack requests in every second. Permits are used up to half a second
/// after they were given out and take a moment to arrive, so that a second's arrivals are 1.6
/// seconds' permits and the burst.
auto coldAllowance(double PerSecond, double Overage, double Slack, base::SteadyTime Until)
    -> ColdAllowance;

/// A ColdAllowance in a message, in thousandths of a request and in milliseconds. m_LeftMs is 0 if
/// the target is not cold.
struct ReportedCold {
  std::uint32_t m_PerThousandSeconds = 0;
  std::uint32_t m_ThousandthsOfBurst = 0;
  std::uint32_t m_LeftMs = 0;
};

/// ReportedLimit::m_PerThousandSeconds of a target without a limit.
inline constexpr auto NoLimit = std::uint32_t{UINT32_MAX};

/// What an answer of a target says of its needs.
struct TargetNeeds {
  /// Requests a second that it takes from all routers together, if it names a limit.
  std::optional<double> m_PerSecond = std::nullopt;

  /// Requests that it can turn away within a second without falling over, if it is brittle.
  std::optional<double> m_MaxRejections = std::nullopt;
};

/// Tells other routers what targets said.
struct LimitUpdate {
  std::string m_Router;
  std::vector<ReportedLimit> m_Limits;

  /// Brittle targets; the number is that of rejections a second.
  std::vector<ReportedLimit> m_Brittle = {};

  [[nodiscard]] auto isEmpty() const -> bool { return m_Limits.empty() && m_Brittle.empty(); }
};

/// Asks the router that keeps a target's permits for one.
struct PermitRequest {
  std::string m_Router;
  std::uint32_t m_Id = 0;
  ReportedLimit m_Limit;

  /// What the asking router knows; the keeper may not have heard of it yet.
  ReportedCold m_Cold;
  ReportedLimit m_Brittle = {};
};

/// The answer to a PermitRequest.
struct PermitReply {
  std::uint32_t m_Id = 0;
  bool m_IsGranted = false;

  /// If it is not granted, milliseconds until a permit may be free.
  std::uint32_t m_RetryAfterMs = 0;

  /// What the keeper knows of the target.
  ReportedLimit m_Limit;
  ReportedLimit m_Brittle = {};
};

/// Tells the router that keeps a brittle target's permits what became of one.
struct OutcomeReport {
  TargetKey m_Target = 0;

  /// Whether the target turned the request away.
  bool m_IsRejected = false;
};

using LimitMessage = std::variant<LimitUpdate, PermitRequest, PermitReply, OutcomeReport>;

/// Encodes a message in cereal's portable binary format, behind a byte that tells its kind.
auto encodeMessage(const LimitMessage &Message) -> std::string;

/// Returns InvalidArgument if the bytes are not an encoded message. Safe for untrusted input.
auto decodeMessage(std::string_view Bytes) -> absl::StatusOr<LimitMessage>;

} // namespace geraniumlift::ratelimits
