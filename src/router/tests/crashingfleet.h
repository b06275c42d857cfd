#pragma once

#include "base/random.h"
#include "fakes/manualtimers.h"
#include "fakes/memoryeventlog.h"
#include "fakes/memorytransactionstore.h"
#include "fleet/fleetexchange.h"
#include "quarantine/quarantineservice.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <memory>

namespace geraniumlift::router::tests {

/// Load and disturbances of a played fleet.
struct CrashingFleetOptions {
  int m_Routers = 9;
  int m_Targets = 12;
  double m_SoundPerSecond = 40.0;
  double m_DeadlyPerSecond = 1.0;
  double m_LossRate = 0.02;

  /// Share of the targets that crash for reasons of their own each second.
  double m_OwnCrashesPerSecond = 0.0;
};

/// Plays the routers of a fleet in virtual time before targets that crash when they begin to answer
/// a request with the deadly part. All messages between routers are datagrams that take up to 3 ms
/// or are lost. Requests of one workspace arrive at any router; all share their first part, sound
/// ones have one of many subjects as their second.
class CrashingFleet final : public quarantine::IListenerCheck {
public:
  explicit CrashingFleet(CrashingFleetOptions Options)
      : m_Options(Options), m_Targets(static_cast<std::size_t>(Options.m_Targets)) {
    for (auto Number = 0; Number < m_Options.m_Routers; ++Number) {
      auto &Item = *m_Nodes.emplace_back(std::make_unique<Node>());
      Item.m_Name = fmt::format("vm{}", Number);
      Item.m_DataCentre = std::string(1, static_cast<char>('a' + Number % 5));
      m_ByName[Item.m_Name] = &Item;
    }
    for (const auto &Item : m_Nodes) {
      start(*Item);
      scheduleAdvance(*Item, random(300));
    }
    arrive();
  }

  auto run(std::chrono::milliseconds Time) -> void { m_Timers.runFor(Time); }

  /// Kills the process and starts it again after the pause, with nothing that it knew.
  auto restart(int Number, std::chrono::milliseconds Pause) -> void {
    auto &Item = *m_Nodes[static_cast<std::size_t>(Number)];
    Item.m_IsRunning = false;
    m_Timers.start(m_Clock.steadyNow() + Pause, [this, &Item] { start(Item); });
  }

  /// Numbers of the routers that relay.
  [[nodiscard]] auto relays() const -> std::vector<int> {
    auto Result = std::vector<int>();
    for (std::size_t Number = 0; Number < m_Nodes.size(); ++Number) {
      if (m_Nodes[Number]->m_Peers->role() == fleet::FleetRole::Relay) {
        Result.push_back(static_cast<int>(Number));
      }
    }
    return Result;
  }

  /// Number of routers that would send a request with the deadly part.
  [[nodiscard]] auto unaware() const -> int {
    auto Count = 0;
    for (const auto &Item : m_Nodes) {
      Count +=
          Item->m_IsRunning && !Item->m_Service->findBlock(Workspace, {Common, Deadly}) ? 1 : 0;
    }
    return Count;
  }

  auto checkListener(const std::string &Ip, std::uint16_t, std::function<void(bool)> Done)
      -> void override {
    after(1, [this, Ip, Done = std::move(Done)] {
      Done(m_Targets[static_cast<std::size_t>(std::stoi(Ip))].m_BackAt <= m_Clock.steadyNow());
    });
  }

  bool m_SendsDeadly = true;
  int m_DeadlySent = 0;
  int m_DeadlyCrashes = 0;
  int m_SoundSent = 0;
  int m_SoundRefused = 0;
  std::size_t m_MessagesOfQuarantine = 0;
  std::size_t m_BytesOfQuarantine = 0;

private:
  static constexpr auto Workspace = quarantine::WorkspaceHash{7};
  static constexpr auto Common = quarantine::PartHash{1};
  static constexpr auto Deadly = quarantine::PartHash{2};
  static constexpr auto FirstSubject = quarantine::PartHash{1000};
  static constexpr auto Subjects = 130;
  static constexpr auto AnswerMs = 150;
  static constexpr auto RestartTime = std::chrono::seconds(3);

  struct Node {
    std::string m_Name;
    std::string m_DataCentre;
    std::uint64_t m_Incarnation = 0;
    std::uint32_t m_Sequence = 0;
    bool m_IsRunning = false;
    fakes::MemoryEventLog m_Log;
    std::unique_ptr<fleet::PeerTable> m_Peers;
    std::unique_ptr<fleet::FleetExchange> m_Exchange;
    std::unique_ptr<quarantine::QuarantineService> m_Service;
  };

  struct Waiting {
    Node *m_Node = nullptr;
    std::uint64_t m_NodeIncarnation = 0;
    std::vector<quarantine::PartHash> m_Parts;
  };

  struct Target {
    std::int64_t m_Incarnation = 1;
    base::SteadyTime m_BackAt;
    std::map<int, Waiting> m_Waiting;
  };

  auto random(std::int64_t Limit) -> std::int64_t {
    return boost::random::uniform_int_distribution<std::int64_t>(0, Limit)(m_Random);
  }

  auto chance(double Share) -> bool {
    return boost::random::uniform_real_distribution<double>(0.0, 1.0)(m_Random) < Share;
  }

  auto after(std::int64_t Ms, std::function<void()> Function) -> void {
    m_Timers.start(m_Clock.steadyNow() + std::chrono::milliseconds(Ms), std::move(Function));
  }

  auto start(Node &Item) -> void {
    Item.m_IsRunning = true;
    ++Item.m_Incarnation;
    Item.m_Sequence = 0;
    auto Peers = fleet::PeerOptions();
    Peers.m_Self = Item.m_Name;
    Item.m_Peers = std::make_unique<fleet::PeerTable>(Peers);
    for (const auto &Other : m_Nodes) {
      Item.m_Peers->put({Other->m_Name, Other->m_DataCentre, Other->m_Name, Other->m_Name, 1},
                        m_Clock.steadyNow());
    }
    auto Exchange = fleet::ExchangeOptions();
    Exchange.m_Self = Item.m_Name;
    Exchange.m_DataCentre = Item.m_DataCentre;
    Item.m_Exchange = std::make_unique<fleet::FleetExchange>(Exchange, *Item.m_Peers);
    if (Item.m_Service) {
      // Timers of the previous process may still refer to it.
      m_Ended.push_back(std::move(Item.m_Service));
    }
    auto Options = quarantine::ServiceOptions();
    Options.m_Router = Item.m_Name;
    Item.m_Service = std::make_unique<quarantine::QuarantineService>(Options, m_Store, *this,
                                                                     m_Timers, m_Clock, Item.m_Log);
    Item.m_Service->setPublisher([this, &Item](const quarantine::QuarantineUpdate &Update) {
      sendUpdate(Item, Update, std::string());
    });
  }

  auto scheduleAdvance(Node &Item, std::int64_t Ms) -> void {
    after(Ms, [this, &Item] {
      if (Item.m_IsRunning) {
        advance(Item);
      }
      scheduleAdvance(Item, Item.m_Exchange->period().count());
    });
  }

  auto advance(Node &Item) -> void {
    auto Own = fleet::Heartbeat();
    Own.m_Router = Item.m_Name;
    Own.m_Incarnation = Item.m_Incarnation;
    Own.m_Sequence = ++Item.m_Sequence;
    for (const auto &Message : Item.m_Exchange->advance(Own, m_Clock.steadyNow())) {
      sendFleet(Message);
    }
    Item.m_Service->advance(Item.m_Peers->role() != fleet::FleetRole::Member);
    if (const auto Report = Item.m_Service->takeReport()) {
      sendUpdate(Item, *Report, std::string());
    }
  }

  auto deliver(const std::string &Name, std::function<void(Node &)> Function) -> void {
    if (chance(m_Options.m_LossRate)) {
      return;
    }
    after(1 + random(2), [&Item = *m_ByName.at(Name), Function = std::move(Function)] {
      if (Item.m_IsRunning) {
        Function(Item);
      }
    });
  }

  auto sendFleet(const fleet::OutgoingMessage &Message) -> void {
    for (const auto &Name : Message.m_Routers) {
      deliver(Name, [this, Content = Message.m_Message](Node &To) {
        const auto Result = To.m_Exchange->receive(Content, m_Clock.steadyNow());
        if (Result.m_Answer) {
          sendFleet(*Result.m_Answer);
        }
      });
    }
  }

  auto sendUpdate(Node &From, const quarantine::QuarantineUpdate &Update, const std::string &Except)
      -> void {
    const auto Bytes = encodeUpdate(Update);
    for (const auto &Name : From.m_Exchange->neighbours()) {
      if (Name == Except) {
        continue;
      }
      ++m_MessagesOfQuarantine;
      m_BytesOfQuarantine += Bytes.size();
      deliver(Name, [this, Update](Node &To) {
        const auto New = To.m_Service->onUpdate(Update);
        if (To.m_Peers->role() != fleet::FleetRole::Direct && !New.isEmpty()) {
          sendUpdate(To, New, Update.m_Router);
        }
      });
    }
  }

  auto arrive() -> void {
    const auto PerSecond = m_Options.m_SoundPerSecond + m_Options.m_DeadlyPerSecond;
    if (chance(m_Options.m_DeadlyPerSecond / PerSecond)) {
      if (m_SendsDeadly) {
        request({Common, Deadly}, 2);
      }
    } else {
      request({Common, FirstSubject + static_cast<quarantine::PartHash>(random(Subjects - 1))}, 2);
    }
    if (chance(m_Options.m_OwnCrashesPerSecond * m_Options.m_Targets / PerSecond)) {
      crash(static_cast<std::size_t>(random(m_Options.m_Targets - 1)));
    }
    m_Timers.start(m_Clock.steadyNow() +
                       std::chrono::microseconds(static_cast<std::int64_t>(1e6 / PerSecond)),
                   [this] { arrive(); });
  }

  auto request(std::vector<quarantine::PartHash> Parts, int Attempts) -> void {
    auto &Item = *m_Nodes[static_cast<std::size_t>(random(m_Options.m_Routers - 1))];
    if (Item.m_IsRunning) {
      send(Item, std::move(Parts), Attempts);
    }
  }

  auto send(Node &Item, std::vector<quarantine::PartHash> Parts, int Attempts) -> void {
    const auto IsDeadly = Parts.back() == Deadly;
    if (Attempts == 0) {
      return;
    }
    (IsDeadly ? m_DeadlySent : m_SoundSent) += 1;
    if (Item.m_Service->findBlock(Workspace, Parts)) {
      (IsDeadly ? m_DeadlySent : m_SoundRefused) += IsDeadly ? -1 : 1;
      return;
    }
    auto At = static_cast<std::size_t>(random(m_Options.m_Targets - 1));
    for (auto Tries = 0; Tries < 4 && m_Targets[At].m_BackAt > m_Clock.steadyNow(); ++Tries) {
      At = static_cast<std::size_t>(random(m_Options.m_Targets - 1));
    }
    if (m_Targets[At].m_BackAt > m_Clock.steadyNow()) {
      return;
    }
    const auto Id = ++m_LastRequest;
    m_Targets[At].m_Waiting[Id] = {&Item, Item.m_Incarnation, Parts};
    m_Attempts[Id] = Attempts;
    after(AnswerMs + random(50), [this, At, Id, IsDeadly] {
      const auto Found = m_Targets[At].m_Waiting.find(Id);
      if (Found == m_Targets[At].m_Waiting.end()) {
        return;
      }
      if (IsDeadly) {
        ++m_DeadlyCrashes;
        crash(At);
        return;
      }
      const auto Done = Found->second;
      m_Targets[At].m_Waiting.erase(Found);
      if (isSameProcess(Done)) {
        Done.m_Node->m_Service->onResponseBegun(Done.m_Parts);
      }
    });
  }

  static auto isSameProcess(const Waiting &Item) -> bool {
    return Item.m_Node->m_IsRunning && Item.m_Node->m_Incarnation == Item.m_NodeIncarnation;
  }

  auto crash(std::size_t At) -> void {
    auto &Item = m_Targets[At];
    const auto Lost = std::exchange(Item.m_Waiting, {});
    Item.m_BackAt = m_Clock.steadyNow() + RestartTime;
    const auto Incarnation = Item.m_Incarnation++;
    for (const auto &[Id, Request] : Lost) {
      if (!isSameProcess(Request)) {
        continue;
      }
      Request.m_Node->m_Service->onConnectionLost(
          {fmt::format("t{}", At), Incarnation, std::to_string(At), 80}, Workspace,
          Request.m_Parts);
      send(*Request.m_Node, Request.m_Parts, m_Attempts[Id] - 1);
    }
  }

  CrashingFleetOptions m_Options;
  base::ManualClock m_Clock;
  fakes::ManualTimers m_Timers{m_Clock};
  fakes::MemoryTransactionStore m_Store{m_Timers, m_Clock};
  base::RandomEngine m_Random{7};
  std::vector<Target> m_Targets;
  std::vector<std::unique_ptr<Node>> m_Nodes;
  std::map<std::string, Node *> m_ByName;
  std::vector<std::unique_ptr<quarantine::QuarantineService>> m_Ended;
  std::map<int, int> m_Attempts;
  int m_LastRequest = 0;
};

} // namespace geraniumlift::router::tests
