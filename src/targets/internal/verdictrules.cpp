#include "targets/verdictrules.h"

namespace geraniumlift::targets {

namespace {

constexpr std::int64_t TooManyRequests = 429;
constexpr std::int64_t ServiceUnavailable = 503;

/// Messages of cpprestsdk 2.10 for a connection that was not opened. Its error codes are ambiguous:
/// it reports host_unreachable for a refused connection and also for a failed write. An unknown
/// message counts as MayHaveRun, so a change of the library's messages cannot cause a wrong
/// DidNotRun.
constexpr auto ConnectFailure = std::string_view{"Failed to connect to any resolved endpoint"};
constexpr auto ResolveFailure = std::string_view{"Error resolving address"};

} // namespace

auto verdictOfFailure(const FailedExchange &Failed) -> base::Verdict {
  const auto NotOpened =
      Failed.m_Message.starts_with(ConnectFailure) || Failed.m_Message.starts_with(ResolveFailure);
  return Failed.m_FreshConnection && NotOpened ? base::Verdict::DidNotRun
                                               : base::Verdict::MayHaveRun;
}

auto verdictOfResponse(std::int64_t Status, bool HasNotRunHeader, bool IsFreshConnection)
    -> base::Verdict {
  const auto IsRefusal = Status == TooManyRequests || Status == ServiceUnavailable;
  if (!IsRefusal || !HasNotRunHeader) {
    return base::Verdict::Ran;
  }
  return IsFreshConnection ? base::Verdict::DidNotRun : base::Verdict::MayHaveRun;
}

} // namespace geraniumlift::targets
