#include "standins/platform/brokenserver.h"
#include "targets/tests/clientfixture.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <fstream>

using namespace geraniumlift;
using namespace geraniumlift::targets;
using standins::BrokenAnswer;
using standins::BrokenServer;

namespace {

/// Requests that are sent at once: the slots of one target.
constexpr auto Slots = 64;

/// Sends one call for each slot and a stream at once to a server that answers like this. Describes
/// those that got an answer, or any event; empty if none did.
auto answersFrom(const BrokenAnswer &Answer, std::size_t BodyBytes = 2) -> std::string {
  auto Server = BrokenServer(Answer);
  const auto Url = fmt::format("http://127.0.0.1:{}", Server.port());
  auto Setup = ClientFixture();
  const auto Observer = std::make_shared<RecordingObserver>();
  Setup.stream(Url, std::string(BodyBytes, 'x'), Observer);
  auto Results = std::vector<std::future<ServiceResult>>();
  for (auto Number = 0; Number < Slots; ++Number) {
    Results.push_back(Setup.startCall(Url, "POST", Number % 2 == 0, std::string(BodyBytes, 'x')));
  }
  auto Text = std::string();
  for (auto &Result : Results) {
    const auto Got = Result.get();
    if (Got.m_Verdict != base::Verdict::MayHaveRun || Got.m_Status != 0) {
      Text += fmt::format("status {} with {} bytes; ", Got.m_Status, Got.m_Body.size());
    }
  }
  const auto End = Observer->waitForEnd();
  if (!End || End->m_Complete || End->m_Verdict == base::Verdict::DidNotRun ||
      !Observer->events().empty()) {
    Text += "a stream";
  }
  return Text;
}

auto expectNoAnswer(const BrokenAnswer &Answer, std::size_t BodyBytes = 2) -> void {
  const auto Text = answersFrom(Answer, BodyBytes);
  cr_expect(Text.empty(), "%s: %s", Answer.m_Start.substr(0, 60).c_str(),
            Text.substr(0, 120).c_str());
}

/// The most memory that this process has held at once, in kilobytes.
auto peakMemoryKb() -> std::int64_t {
  auto File = std::ifstream("/proc/self/status");
  for (auto Line = std::string(); std::getline(File, Line);) {
    if (Line.starts_with("VmHWM:")) {
      return std::stoll(Line.substr(6));
    }
  }
  return -1;
}

/// What the calls and the stream may add to the memory in kilobytes: the limit of the fixture, the
/// buffers of the connections on both sides, and what the allocator keeps.
constexpr auto MaxAddedKb = std::int64_t{24} * 1024;

} // namespace

// Guards against a part of an answer that counts as the whole, because the target resets the
// connection while a long request is still being written.
Test(brokenanswers, unframedAnswerOfAResetConnection) {
  expectNoAnswer({"HTTP/1.1 200 OK\r\n\r\npart", "", BrokenAnswer::Ending::Close, true},
                 std::size_t{4} << 20U);
}

// Guards against a target in trouble whose status is no status.
Test(brokenanswers, statusOutsideTheProtocol) {
  for (const auto *Status : {"000", "099", "101", "999"}) {
    expectNoAnswer({fmt::format("HTTP/1.1 {} x\r\nContent-Length: 4\r\n\r\nnone", Status), ""});
  }
}

// Guards against a header line whose name is no token: it could change where the body ends.
Test(brokenanswers, fieldNameWithABlankOrAControlByte) {
  const auto Answer = [](const std::string &Line) {
    return BrokenAnswer{"HTTP/1.1 200 OK\r\nServer: s\r\n" + Line + "\r\n\r\nnone", ""};
  };
  const auto Framing = std::string("\r\nContent-Length: 4");
  const auto VerticalTab = std::string("\x0b");
  for (const auto *Line : {"Bad Name: x", "X-Name : x", " X-Name: x", "\tX-Name: x", "X\x01Name: x",
                           "X-Name\x7f: x", "no name"}) {
    expectNoAnswer(Answer(Line + Framing));
  }
  expectNoAnswer(Answer(VerticalTab + "X-Name: x" + Framing));
  for (const auto &Name : {std::string("Content-Length "), VerticalTab + "Content-Length",
                           std::string(" Content-Length")}) {
    expectNoAnswer(Answer(Name + ": 2"));
  }
}

// Guards against a header without end that is kept until memory is used up.
Test(brokenanswers, headWithoutEnd) {
  const auto Before = peakMemoryKb();
  expectNoAnswer({"HTTP/1.1 200 OK\r\n", "a: b\r\n"});
  expectNoAnswer({"HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa"});
  expectNoAnswer({"", "aaaaaaaa"});
  cr_expect_leq(peakMemoryKb() - Before, MaxAddedKb);
}

// Guards against bodies without end, each of which is bounded while their sum is not.
Test(brokenanswers, bodyWithoutEnd) {
  const auto Before = peakMemoryKb();
  const auto Head = std::string("HTTP/1.1 200 OK\r\n");
  expectNoAnswer({Head + "Content-Length: 1000000000\r\n\r\n", "xxxxxxxx"});
  expectNoAnswer({Head + "Transfer-Encoding: chunked\r\n\r\n", "10\r\nxxxxxxxxxxxxxxxx\r\n"});
  expectNoAnswer({Head + "Transfer-Encoding: chunked\r\n\r\n5;", "extension"});
  cr_expect_leq(peakMemoryKb() - Before, MaxAddedKb);
}

// Guards against a target that stops in the middle of its header and closes: callers got a status
// with an empty body.
Test(brokenanswers, headThatIsCutOff) {
  const auto Head =
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n");
  for (std::size_t Size = 0; Size < Head.size(); Size += 3) {
    expectNoAnswer({Head.substr(0, Size), "", BrokenAnswer::Ending::Close});
  }
  expectNoAnswer({Head + "bod", "", BrokenAnswer::Ending::Close});
}
