#pragma once

#include "claims/claimrecord.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <variant>

namespace geraniumlift::claims::internal {

/// Write the claim if its revision is as expected (0: if it does not exist).
struct WriteClaim {
  std::int64_t m_ExpectedRevision = 0;
  ClaimRecord m_Record;
};

/// Remove the claim if its revision is as expected.
struct EraseClaim {
  std::int64_t m_ExpectedRevision = 0;
};

/// Read the claim.
struct ReadClaim {};

/// Read the claim again after this time.
struct WaitForRetry {
  std::chrono::milliseconds m_Delay{0};
};

/// The operation has finished. m_Result is set by ClaimCreation, m_IsStored by ClaimCompletion.
struct FinishOperation {
  ClaimResult m_Result = ClaimTicket();
  bool m_IsStored = false;
};

using ClaimCommand = std::variant<WriteClaim, EraseClaim, ReadClaim, WaitForRetry, FinishOperation>;

/// State machine of one operation on one claim: it writes, and after a lost response reads until it
/// is known whether the write took effect. It does no I/O itself: each event returns the next
/// command.
class ClaimOperation {
public:
  ClaimOperation(ClaimRecord Record, base::SteadyTime Deadline)
      : m_Record(std::move(Record)), m_Deadline(Deadline) {}
  virtual ~ClaimOperation() = default;

  /// The first command.
  virtual auto start() -> ClaimCommand = 0;

  /// The write was confirmed at this revision.
  virtual auto onWriteConfirmed(std::int64_t Revision) -> ClaimCommand = 0;

  /// Handles the stored claim; Found is empty if there is none.
  virtual auto onFound(const std::optional<StoredClaim> &Found) -> ClaimCommand = 0;

  /// Returns the final command when the deadline has passed.
  virtual auto onDeadline() -> ClaimCommand = 0;

  /// A write or read has no known outcome.
  auto onUnknown(base::SteadyTime Now) -> ClaimCommand {
    if (Now >= m_Deadline) {
      return onDeadline();
    }
    const auto Left = std::chrono::ceil<std::chrono::milliseconds>(m_Deadline - Now);
    const auto Delay = std::min(Left, m_Backoff);
    m_Backoff = std::min(MaxBackoff, 2 * m_Backoff);
    return WaitForRetry{Delay};
  }

  /// Handles the end of the retry delay.
  auto onRetry(base::SteadyTime Now) -> ClaimCommand {
    return Now >= m_Deadline ? onDeadline() : ClaimCommand(ReadClaim{});
  }

  [[nodiscard]] auto deadline() const -> base::SteadyTime { return m_Deadline; }
  [[nodiscard]] auto record() const -> const ClaimRecord & { return m_Record; }

protected:
  /// Whether the claim that was found was made by this attempt.
  [[nodiscard]] auto isOwn(const StoredClaim &Found) const -> bool {
    return Found.m_Record.m_Owner == m_Record.m_Owner &&
           Found.m_Record.m_Attempt == m_Record.m_Attempt;
  }

private:
  static constexpr auto MaxBackoff = std::chrono::milliseconds{500};

  ClaimRecord m_Record;
  base::SteadyTime m_Deadline;
  std::chrono::milliseconds m_Backoff{20};
};

} // namespace geraniumlift::claims::internal
