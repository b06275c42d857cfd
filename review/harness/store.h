#pragma once

#include "httpserver.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <vector>

namespace review {

/// The platform's metadata store: linearizable, with transactions, watches that wait, and a history
/// that holds the values of all changes for 20 s. Each machine calls it at a port of its own, so
/// that single machines can be cut off from it.
class Store {
public:
  explicit Store(std::size_t Machines);

  /// The port at which a machine calls the store.
  [[nodiscard]] auto port(std::size_t Machine) const -> int { return m_Servers[Machine]->port(); }

  /// While set, the machine is cut off from the store: its open channels and its new ones end
  /// without an answer, and nothing that it sends reaches the store.
  auto cut(std::size_t Machine, bool IsCut) -> void;

  /// Writes a key as the operator or a runner does, and returns the revision of the change.
  auto put(const std::string &Key, const std::string &Value) -> std::int64_t;
  auto erase(const std::string &Key) -> void;

  /// The value of a key; empty if there is none.
  auto get(const std::string &Key) -> std::string;

private:
  struct Item {
    std::string m_Value;
    std::int64_t m_Revision = 0;
    std::int64_t m_Created = 0;
  };

  struct Change {
    std::chrono::steady_clock::time_point m_Time;
    std::string m_Key;
    std::int64_t m_Revision = 0;

    /// The item as it was written, as JSON; the note of its removal if it was removed.
    std::string m_Json;
  };

  auto handle(std::size_t Machine, const Connection &Caller, const Message &Request) -> bool;
  auto range(const std::string &Target) -> std::string;
  auto watch(std::size_t Machine, const std::string &Target) -> std::string;
  auto transact(const std::string &Body) -> std::string;
  auto putLocked(const std::string &Key, const std::string &Value) -> void;
  auto eraseLocked(const std::string &Key) -> void;
  auto dropOldChanges() -> void;
  static auto itemJson(const std::string &Key, const Item &Entry) -> std::string;

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Item> m_Items;
  std::deque<Change> m_History;
  std::int64_t m_Revision = 1;
  std::int64_t m_LastDropped = 0;
  std::vector<std::atomic<bool>> m_IsCut;
  std::vector<std::unique_ptr<HttpServer>> m_Servers;
};

} // namespace review
