#include "quarantine/crashattributor.h"

#include <criterion/criterion.h>

using namespace geraniumlift;
using namespace geraniumlift::quarantine;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto Start = base::SteadyTime(1h);
constexpr auto A = WorkspaceHash{11};
constexpr auto B = WorkspaceHash{12};

/// Parts of prompts: one that all requests share, subjects of sound requests, and a deadly one.
enum Part : PartHash { Common = 100, Subject = 200, OtherSubject = 201, Deadly = 300 };

class Attribution {
public:
  /// A target crashes while it holds these requests.
  auto crash(milliseconds At,
             const std::vector<std::pair<WorkspaceHash, std::vector<PartHash>>> &Requests) -> void {
    ++m_Last;
    for (const auto &[Workspace, Parts] : Requests) {
      m_Attributor.addSuspect({m_Last, Workspace, Parts}, Start + At, true);
    }
  }

  auto answer(milliseconds At, PartHash Part) -> void { m_Attributor.addAnswer(Part, Start + At); }

  auto blamed(milliseconds At) -> std::set<PartKey> {
    auto Keys = std::set<PartKey>();
    for (const auto &Item : m_Attributor.blamedParts(CrashScope::Confirmed, Start + At)) {
      Keys.insert(Item.m_Key);
    }
    return Keys;
  }

  CrashAttributor m_Attributor{AttributionOptions()};
  CrashId m_Last = 0;
};

using Keys = std::set<PartKey>;

} // namespace

Test(crashattributor, unansweredPartOfThreeCrashesIsBlamed) {
  auto Play = Attribution();
  Play.answer(-500ms, Common);
  Play.crash(0ms, {{A, {Common, Subject, Deadly}}, {A, {Common, OtherSubject}}});
  Play.crash(300ms, {{A, {Common, Subject, Deadly}}});
  cr_expect(Play.blamed(400ms).empty());
  Play.answer(500ms, Common);
  Play.crash(900ms, {{A, {Common, Subject, Deadly}}, {B, {Common, OtherSubject}}});
  cr_expect(Play.blamed(1000ms) == Keys({{Deadly, A}}));
}

Test(crashattributor, partThatEndsAllRequestsButIsAnsweredElsewhereIsNotBlamed) {
  auto Play = Attribution();
  for (auto Number = 0; Number < 20; ++Number) {
    Play.crash(Number * 200ms, {{A, {Common, 1000U + static_cast<PartHash>(Number)}},
                                {B, {Common, 2000U + static_cast<PartHash>(Number)}}});
    Play.answer(Number * 200ms + 150ms, Common);
  }
  cr_expect(Play.blamed(4s).empty());
}

// Guards against blaming sound parts for a power failure of many targets.
Test(crashattributor, targetsThatEndTogetherCountOnce) {
  auto Play = Attribution();
  for (auto Number = 0; Number < 24; ++Number) {
    Play.crash(Number * 1ms, {{A, {Common, Subject}}, {B, {Common, OtherSubject}}});
  }
  cr_expect(Play.blamed(100ms).empty());
}

Test(crashattributor, crashesOfTheDeadlyPartCountAgainstNoOther) {
  auto Play = Attribution();
  for (auto Number = 0; Number < 4; ++Number) {
    Play.crash(Number * 300ms, {{A, {Common, Deadly}}, {A, {Subject}}});
  }
  Play.crash(1200ms, {{A, {Common, Deadly}}});
  cr_expect(Play.blamed(1300ms) == Keys({{Deadly, A}}));
}

Test(crashattributor, partsOfTheSameCrashesAreToldApartByFurtherOnes) {
  auto Play = Attribution();
  for (auto Number = 0; Number < 3; ++Number) {
    Play.crash(Number * 300ms, {{A, {Deadly}}, {A, {Subject}}});
  }
  cr_expect(Play.blamed(1s).empty(), "either may be the cause");
  Play.crash(1200ms, {{A, {Deadly}}});
  cr_expect(Play.blamed(1300ms) == Keys({{Deadly, A}}));
}

Test(crashattributor, fiveCrashesAreEnoughToBlameAllThatMayBeTheCause) {
  auto Play = Attribution();
  for (auto Number = 0; Number < 5; ++Number) {
    Play.crash(Number * 300ms, {{A, {Deadly}}, {A, {Subject}}});
  }
  cr_expect_not(Play.blamed(2s).empty());
}

Test(crashattributor, ofPartsThatOccurTogetherTheLastIsBlamed) {
  auto Play = Attribution();
  for (auto Number = 0; Number < 3; ++Number) {
    Play.crash(Number * 300ms, {{A, {Common, Subject, Deadly}}});
  }
  cr_expect(Play.blamed(1s) == Keys({{Deadly, A}}));
}

Test(crashattributor, partThatWasSoundBeforeIsBlamedOnceItCrashesTargets) {
  auto Play = Attribution();
  Play.answer(-100ms, Subject);
  Play.answer(-100ms, Common);
  for (auto Number = 0; Number < 3; ++Number) {
    Play.crash(Number * 300ms, {{A, {Common, Subject}}});
    Play.answer(Number * 300ms + 100ms, Common);
  }
  cr_expect(Play.blamed(2s).empty());
  Play.crash(2100ms, {{A, {Common, Subject}}});
  Play.answer(2200ms, Common);
  cr_expect(Play.blamed(2300ms) == Keys({{Subject, A}}));
}

// Guards against a caller that puts another caller's part beside one that crashes targets.
Test(crashattributor, callerCannotHaveThePartsOfOthersBlamed) {
  auto Play = Attribution();
  for (auto Number = 0; Number < 12; ++Number) {
    Play.crash(Number * 300ms, {{A, {Deadly, Subject}}, {B, {Subject}}});
  }
  cr_expect_not(Play.blamed(4s).contains({Subject, B}));
  cr_expect_not(Play.blamed(4s).contains({Subject, AllWorkspaces}));
  cr_expect_not(Play.blamed(4s).empty());
}

Test(crashattributor, partThatCrashesTargetsForSeveralWorkspacesIsBlamedForAll) {
  auto Play = Attribution();
  Play.crash(0ms, {{A, {Common, Deadly}}});
  Play.crash(300ms, {{B, {Common, Deadly}}});
  Play.crash(600ms, {{A, {Common, Deadly}}});
  cr_expect(Play.blamed(1s).contains({Deadly, AllWorkspaces}));
}

Test(crashattributor, answerRefutesEarlierCrashes) {
  auto Play = Attribution();
  for (auto Number = 0; Number < 3; ++Number) {
    Play.crash(Number * 300ms, {{A, {Subject}}});
  }
  cr_expect_not(Play.blamed(1s).empty());
  Play.answer(1s, Subject);
  cr_expect(Play.blamed(1s).empty());
}

Test(crashattributor, unconfirmedCrashesAreDropped) {
  auto Play = Attribution();
  for (auto Number = CrashId{1}; Number <= 3; ++Number) {
    Play.m_Attributor.addSuspect({Number, A, {Subject}}, Start + Number * 300ms, false);
  }
  cr_expect(Play.blamed(2s).empty());
  cr_expect_eq(Play.m_Attributor.blamedParts(CrashScope::All, Start + 2s).size(), 1U);
  Play.m_Attributor.dropUnconfirmedCrash(2);
  cr_expect(Play.m_Attributor.blamedParts(CrashScope::All, Start + 2s).empty());
}

Test(crashattributor, evidenceExpiresAndIsBounded) {
  auto Play = Attribution();
  for (auto Number = 0; Number < 3; ++Number) {
    Play.crash(Number * 300ms, {{A, {Subject}}});
  }
  Play.m_Attributor.removeExpired(Start + 2min);
  cr_expect(Play.blamed(2min).empty());
  const auto Limit = AttributionOptions().m_MaxSuspects;
  auto Added = std::size_t{0};
  for (auto Number = CrashId{0}; Number < 2 * Limit; ++Number) {
    Added += Play.m_Attributor.addSuspect({Number, A, {Number}}, Start + 2min, true) ? 1U : 0U;
  }
  cr_expect_eq(Added, Limit);
}
