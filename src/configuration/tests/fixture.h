#pragma once

#include "configuration/manifest.h"
#include "configuration/publisher.h"
#include "configuration/tests/fakestore.h"
#include "configuration/tests/testscheduler.h"

namespace geraniumlift::configuration::testing {

using namespace std::chrono_literals;

/// A set with one budget of the given name, and a priority class that all such sets share.
inline auto setNamed(const std::string &Name) -> objects::ObjectSet {
  auto Set = objects::ObjectSet();
  Set.m_Budgets[Name] = {.m_Name = Name};
  Set.m_PriorityClasses["paid"] = {.m_Name = "paid"};
  return Set;
}

/// A store and a publisher on the same scheduler.
struct Fixture {
  TestScheduler m_Scheduler;
  FakeStore m_Store{m_Scheduler};
  Publisher m_Publisher{m_Store, m_Scheduler, m_Scheduler.m_Clock};

  /// Publishes and waits for the result; nullopt if there is none within a minute.
  auto publish(PublishRequest Request) -> std::optional<PublishResult> {
    auto Result = std::optional<PublishResult>();
    m_Publisher.publish(std::move(Request), [&](PublishResult PublishedResult) {
      Result = std::move(PublishedResult);
    });
    m_Scheduler.runFor(60s);
    return Result;
  }

  auto publishNamed(const std::string &Name) -> PublishResult {
    return publish({.m_Objects = setNamed(Name)}).value();
  }

  /// Injects the fault into the next write of the manifest, then makes reads and writes of the
  /// manifest fail for the given time.
  auto failManifestWrite(Fault InjectedFault, std::chrono::milliseconds Outage = 0ms) -> void {
    m_Store.m_SelectFault = [this, InjectedFault, Outage,
                             Until = std::optional<base::SteadyTime>()](const std::string &Key,
                                                                        bool IsWrite) mutable {
      if (Key != ManifestKey) {
        return Fault::None;
      }
      const auto Now = m_Scheduler.m_Clock.steadyNow();
      if (IsWrite && !Until) {
        Until = Now + Outage;
        return InjectedFault;
      }
      return Until && Now < *Until ? Fault::Down : Fault::None;
    };
  }

  auto manifest() -> Manifest {
    return decodeManifest(m_Store.m_Entries.at(std::string(ManifestKey)).m_Value).value();
  }
};

} // namespace geraniumlift::configuration::testing
