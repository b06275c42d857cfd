#pragma once

#include "standins/kv/revisionstore.h"
#include "standins/platform/byteserver.h"

#include <atomic>
#include <mutex>

namespace geraniumlift::standins {

/// The platform's metadata store, in memory. A watch answers at once, with or without changes, and
/// leases do not end.
class StoreStandin {
public:
  StoreStandin(boost::asio::io_context &Loop, int Port);

  /// Writes a key as an operator or a target does.
  auto put(const std::string &Key, const std::string &Value) -> void;
  auto erase(const std::string &Key) -> void;
  [[nodiscard]] auto get(const std::string &Key) -> std::string;
  [[nodiscard]] auto has(const std::string &Key) -> bool;

  /// While set, calls get no answer.
  std::atomic<bool> m_IsSilent{false};

  /// This many of the next transactions are carried out but not answered.
  std::atomic<int> m_LostAnswers{0};

  /// Forgets the history, so that watches must list again.
  auto compact() -> void;

  /// Names the era in all answers from now on; see returnFromCopy().
  auto nameEra() -> void;

  /// Takes a copy of all keys.
  auto copy() -> void;

  /// Comes back from the copy in a new era. Revisions after it are given out again, and the history
  /// is gone.
  auto returnFromCopy() -> void;

private:
  struct Event {
    std::string m_Key;
    std::int64_t m_Revision = 0;
    bool m_IsRemoved = false;
  };

  auto handle(const Received &Request) -> std::optional<Reply>;
  auto answer(const Received &Request) -> std::optional<Reply>;
  auto range(const std::string &Prefix) -> Reply;
  auto watch(const std::string &Prefix, std::int64_t After) -> Reply;
  auto transact(const std::string &Body) -> std::optional<Reply>;
  auto itemText(const std::string &Key) -> std::string;
  auto putLocked(const std::string &Key, const std::string &Value) -> void;
  auto eraseLocked(const std::string &Key) -> void;

  std::mutex m_Mutex;
  standin::RevisionStore m_Store;
  std::vector<Event> m_Events;
  std::int64_t m_OldestKnown = 0;
  std::int64_t m_LastLease = 0;
  standin::RevisionStore m_Copy;

  /// 0 if answers do not name an era.
  std::int64_t m_Era = 0;
  ByteServer m_Server;
};

} // namespace geraniumlift::standins
