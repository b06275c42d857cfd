#include "client.h"

#include <fmt/format.h>

namespace geraniumlift::review {

using namespace std::chrono_literals;

namespace {

constexpr auto Pause = 300ms;

/// Clients begin one after the other, so that at any time some wait for their first event.
constexpr auto StartStep = 55ms;
constexpr auto StartSpread = 3300ms;

/// A client waits for at most its deadline of 5 s and a little for the answer to arrive.
constexpr auto Patience = 6s;

} // namespace

auto Results::count(const std::string &Outcome) -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  ++m_Outcomes[Outcome];
}

auto Client::run(const std::atomic<bool> &IsOver) -> void {
  std::this_thread::sleep_for(m_Number * StartStep % StartSpread);
  while (!IsOver) {
    sendOne();
    std::this_thread::sleep_for(Pause);
  }
}

auto Client::sendOne() -> void {
  if (!m_Channel || !m_Channel->isOpen()) {
    const auto &Routers = m_Fleet.routers();
    m_Router = Routers[m_Random() % Routers.size()].get();
    m_Channel = std::make_unique<HttpChannel>(m_Router->ip(), m_Router->callerPort());
    m_Served = 0;
    if (!m_Channel->open()) {
      m_Results.count("no connection");
      return;
    }
  }
  const auto Id = fmt::format("c{}-{}", m_Number, ++m_Requests);
  m_Log.line(fmt::format("sent {} to {}", Id, m_Router->name()));
  const auto Sent = m_Channel->send(
      fmt::format("POST /dossier/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\nModel: m\r\n"
                  "Token-Usage: {},50\r\nPrompt-Prefix: {}{:08x}:{}\r\nDeadline-Ms: 5000\r\n"
                  "Authorization: Bearer k\r\nContent-Length: 5\r\n\r\nhello",
                  Id, m_Prompts.m_Tokens, m_Prompts.m_Parts,
                  0x80000000U + (m_Random() & 0x3fffffffU), m_Prompts.m_LastPartTokens));
  const auto Answer = m_Channel->receive(Patience);
  m_Log.line(fmt::format("answered {} status {} complete {} closed {}", Id, Answer.m_Status,
                         Answer.m_IsComplete, Answer.m_IsClosed));
  if (Sent && Answer.m_IsClosed && !Answer.m_HasBegun) {
    const auto Lock = std::lock_guard(m_Results.m_Mutex);
    m_Results.m_Unanswered.push_back({Id, m_Router->name(), m_Served > 0});
  }
  m_Results.count(Answer.m_IsComplete ? std::to_string(Answer.m_Status) : "not complete");
  ++m_Served;
  if (!Answer.m_KeepsChannel) {
    m_Channel->close();
  }
}

auto countLost(Deployment &Fleet, const Results &Seen, const std::string &KilledEngine, Record &Log)
    -> std::size_t {
  auto Received = std::set<std::string>();
  for (const auto &Engine : Fleet.engines()) {
    auto Ids = Engine->received();
    for (const auto &Id : Ids) {
      Log.line(fmt::format("run {} on {}", Id, Engine->m_Id));
    }
    if (Engine->m_Id != KilledEngine) {
      Received.merge(Ids);
    }
  }
  auto Lost = std::size_t{0};
  for (const auto &Item : Seen.m_Unanswered) {
    if (Item.m_IsKeptChannel && Received.contains(Item.m_Id)) {
      ++Lost;
      Log.line(fmt::format("lost {}: {} passed it on to a sound runner and its channel ended "
                           "without an answer",
                           Item.m_Id, Item.m_Router));
    }
  }
  return Lost;
}

} // namespace geraniumlift::review
