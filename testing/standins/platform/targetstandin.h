#pragma once

#include "standins/platform/storestandin.h"

#include <deque>
#include <map>
#include <vector>

namespace geraniumlift::standins {

/// What a target does with the next requests.
enum class TargetFault {
  None,
  LosesAnswer,
  Refuses,
  Hangs,
  BreaksStream,
  Fails,
  /// Runs the request, but first writes the refusal of an earlier one.
  RepeatsRefusal,
};

/// What a target registers in the store.
struct TargetRegistration {
  std::string m_Pool;
  int m_Port = 0;
  int m_Slots = 4;
  std::string m_State = "ready";
  std::string m_DataCentre = "a";
  std::chrono::milliseconds m_ColdTime{0};
  std::string m_Version = "v1";
};

/// The text of a target's entry in the store.
auto targetRegistration(const TargetRegistration &Registration) -> std::string;

/// A target that registers itself in the store and counts what it ran.
class TargetStandin {
public:
  TargetStandin(boost::asio::io_context &Loop, StoreStandin &Store, std::string Id,
                std::string Pool, int Port);

  /// Writes the registration with the state `ready` or `draining`.
  auto registerAs(const std::string &State) -> void;

  std::atomic<TargetFault> m_Fault{TargetFault::None};

  /// Limit in requests a second that the target names in its answers; 0 for none. It runs requests
  /// above it all the same.
  std::atomic<int> m_NamedLimit{0};

  /// Whether the target says in its answers that it leaves. Its registration stays as it is.
  std::atomic<bool> m_SaysLeaving{false};

  /// Requests that the target takes within a second; it turns further ones away. 0 for no bound.
  std::atomic<int> m_Room{0};

  /// If not negative, the target says in its answers that it is brittle. It falls over if it turns
  /// away more requests than this within a second, and is back a moment later under another ID.
  std::atomic<int> m_MaxRejections{-1};

  /// How often the target has fallen over.
  std::atomic<int> m_Falls{0};

  /// While positive, the target refuses requests and asks for a pause of this length.
  std::atomic<int> m_PauseMs{0};

  /// Data centre and cold time of the next registration.
  std::string m_DataCentre = "a";
  std::chrono::milliseconds m_ColdTime{0};

  /// Software version of the next registration.
  std::string m_Version = "v1";

  /// The target crashes whenever it runs a request with this part in its prompt, and is back a
  /// moment later under another ID. Set before the first request.
  std::string m_DeadlyPart;

  /// How often a request ran here, by its ID.
  [[nodiscard]] auto runs(const std::string &RequestId) -> int;
  [[nodiscard]] auto totalRuns() -> int;

  /// When each request ran here, in order.
  [[nodiscard]] auto runTimes() -> std::vector<std::chrono::steady_clock::time_point>;

  /// When each request arrived here, refused ones included, in order.
  [[nodiscard]] auto arrivalTimes() -> std::vector<std::chrono::steady_clock::time_point>;

  /// A header field of the newest request.
  [[nodiscard]] auto lastField(const std::string &Name) -> std::string;
  [[nodiscard]] auto lastBody() -> std::string;

private:
  auto handle(const Received &Request) -> std::optional<Reply>;
  [[nodiscard]] auto statementFields() const -> std::string;

  /// Turns a request away if there is no room for it. Returns whether it did; without a reply the
  /// target has fallen over.
  auto turnAway(const std::string &RequestId, std::optional<Reply> &Into) -> bool;

  /// Closes all connections and is back later under another ID.
  auto crash(std::chrono::milliseconds Pause) -> void;
  auto streamReply(const std::string &Id, std::uint64_t After, bool Breaks) -> Reply;

  StoreStandin &m_Store;
  std::string m_Id;
  std::string m_Pool;
  int m_Port;
  std::mutex m_Mutex;
  std::map<std::string, int> m_Runs;
  std::vector<std::chrono::steady_clock::time_point> m_RunTimes;
  std::vector<std::chrono::steady_clock::time_point> m_ArrivalTimes;

  /// When requests were taken and turned away, of the last second.
  std::deque<std::chrono::steady_clock::time_point> m_Taken;
  std::deque<std::chrono::steady_clock::time_point> m_Rejected;
  Received m_Last;
  ByteServer m_Server;
};

} // namespace geraniumlift::standins
