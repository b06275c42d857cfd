#pragma once

#include "keyvalue/keyvaluetypes.h"

#include <vector>

namespace geraniumlift::keyvalue {

/// Requires that a key was last written at this revision; AbsentRevision if it must not exist.
struct RevisionCondition {
  std::string m_Key;
  std::int64_t m_Revision = AbsentRevision;
};

struct KeyWrite {
  std::string m_Key;
  std::string m_Value;

  /// The key is removed when this lease ends.
  std::optional<LeaseId> m_Lease = std::nullopt;
};

/// Several writes and removals that take effect together, and only if all conditions hold.
struct Transaction {
  std::vector<RevisionCondition> m_Conditions;
  std::vector<KeyWrite> m_Writes;
  std::vector<std::string> m_Removals;
};

/// Outcome of a transaction. NotDone means that it was not and will not be applied, Unknown that it
/// may have been applied or may still be.
enum class TransactionOutcome { Applied, Conflict, LeaseEnded, NotDone, Unknown };

inline constexpr auto TransactionOutcomeNames = std::array{
    base::NamedValue<TransactionOutcome>{TransactionOutcome::Applied, "landed"},
    base::NamedValue<TransactionOutcome>{TransactionOutcome::Conflict, "conflict"},
    base::NamedValue<TransactionOutcome>{TransactionOutcome::LeaseEnded, "lease_ended"},
    base::NamedValue<TransactionOutcome>{TransactionOutcome::NotDone, "not_done"},
    base::NamedValue<TransactionOutcome>{TransactionOutcome::Unknown, "unknown"},
};

struct TransactionResult {
  TransactionOutcome m_Outcome = TransactionOutcome::Unknown;

  /// The revision of all written keys after Applied.
  std::int64_t m_Revision = 0;

  /// After Conflict, the current entries of the conditions' keys, without keys that do not exist.
  std::vector<KeyValue> m_Current = {};
};

/// All keys with a prefix. Pages are read one after the other, so later pages may show newer
/// values.
struct ListResult {
  std::vector<KeyValue> m_Items;

  /// Revision of the store at the first page. A watch from this revision misses no change.
  std::int64_t m_Revision = 0;
};

/// One change of a key.
struct WatchEvent {
  KeyValue m_Item;
  bool m_IsRemoved = false;
};

struct WatchResult {
  std::vector<WatchEvent> m_Events;

  /// The revision after which the next watch continues.
  std::int64_t m_Revision = 0;
};

} // namespace geraniumlift::keyvalue
