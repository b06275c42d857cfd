#pragma once

#include "httpchannel.h"
#include "rig.h"

#include <atomic>
#include <map>
#include <random>

namespace geraniumlift::review {

/// A request that ended without a single byte of an answer because its channel was closed.
struct UnansweredRequest {
  std::string m_Id;
  std::string m_Router;
  bool m_IsKeptChannel = false;
};

/// What the clients of a run have seen.
struct Results {
  std::mutex m_Mutex;
  std::vector<UnansweredRequest> m_Unanswered;
  std::map<std::string, int> m_Outcomes;

  auto count(const std::string &Outcome) -> void;
};

/// The prompts of one client's session.
struct Prompts {
  int m_Tokens = 0;

  /// All parts but the last one, each followed by a comma.
  std::string m_Parts;
  int m_LastPartTokens = 0;
};

/// A client that sends one stream request after the other and keeps its channel for them.
class Client {
public:
  Client(int Number, Prompts Session, Deployment &Fleet, Record &Log, Results &Into)
      : m_Number(Number), m_Prompts(std::move(Session)), m_Fleet(Fleet), m_Log(Log),
        m_Results(Into), m_Random(static_cast<unsigned>(Number)) {}

  auto run(const std::atomic<bool> &IsOver) -> void;

private:
  auto sendOne() -> void;

  int m_Number;
  Prompts m_Prompts;
  Deployment &m_Fleet;
  Record &m_Log;
  Results &m_Results;
  std::mt19937 m_Random;
  RouterVm *m_Router = nullptr;
  std::unique_ptr<HttpChannel> m_Channel;
  int m_Requests = 0;
  int m_Served = 0;
};

/// The rule allows three requests that a router passed on from a kept channel to a sound runner and
/// left without an answer.
constexpr auto AllowedLost = std::size_t{3};

/// Counts those requests, and records which requests ran where.
auto countLost(Deployment &Fleet, const Results &Seen, const std::string &KilledEngine, Record &Log)
    -> std::size_t;

} // namespace geraniumlift::review
