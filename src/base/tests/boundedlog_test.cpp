#include "base/boundedlog.h"
#include "base/manualclock.h"

#include <array>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

using namespace geraniumlift::base;
using namespace std::chrono_literals;

namespace {

/// A pipe that is read only on request.
struct Pipe {
  std::array<int, 2> m_Ends{};
  Pipe() { cr_assert_eq(::pipe(m_Ends.data()), 0); }
  ~Pipe() {
    ::close(m_Ends[0]);
    ::close(m_Ends[1]);
  }
  Pipe(const Pipe &) = delete;
  auto operator=(const Pipe &) -> Pipe & = delete;

  [[nodiscard]] auto read() const -> std::string {
    ::fcntl(m_Ends[0], F_SETFL, O_NONBLOCK);
    auto Text = std::string();
    auto Buffer = std::array<char, 4096>();
    for (auto Size = ::read(m_Ends[0], Buffer.data(), Buffer.size()); Size > 0;
         Size = ::read(m_Ends[0], Buffer.data(), Buffer.size())) {
      Text.append(Buffer.data(), static_cast<std::size_t>(Size));
    }
    return Text;
  }
};

} // namespace

// Guards against a log that blocks the process when its reader stops: with a full pipe and buffer,
// lines are dropped instead, and their number is logged once the reader continues.
Test(boundedlog, fullPipeDoesNotBlock) {
  auto Ends = Pipe();
  auto Clock = ManualClock();
  auto Log = BoundedLog(Ends.m_Ends[1], Clock, LogOptions{1e9, 1e9, 0.0, 100000});
  for (auto Number = 0; Number < 10000; ++Number) {
    Log.record(LogLevel::Info, "test", {{"number", Number}, {"filler", std::string(50, 'x')}});
  }
  Log.flush();
  cr_assert_gt(Log.dropped(), 0U);
  cr_assert(Ends.read().find("number=0 ") != std::string::npos);
  Log.flush();
  Log.record(LogLevel::Info, "after", {});
  auto Rest = std::string();
  for (auto Round = 0; Round < 10; ++Round) {
    Log.flush();
    Rest += Ends.read();
  }
  cr_assert(Rest.find("event=log_lines_dropped") != std::string::npos);
  cr_assert(Rest.find("event=after") != std::string::npos);
}

// Guards against warnings that are lost because lines of lower levels used up the rate limit.
Test(boundedlog, reservesBurstForWarnings) {
  auto Ends = Pipe();
  auto Clock = ManualClock();
  auto Log = BoundedLog(Ends.m_Ends[1], Clock, LogOptions{10.0, 40.0, 20.0, 100000});
  for (auto Number = 0; Number < 100; ++Number) {
    Log.record(LogLevel::Debug, "good", {});
  }
  for (auto Number = 0; Number < 15; ++Number) {
    Log.record(LogLevel::Warning, "bad", {{"number", Number}});
  }
  Log.flush();
  const auto Text = Ends.read();
  cr_assert(Text.find("number=14") != std::string::npos);
  cr_assert_eq(Log.dropped(), 80U);
  Clock.advance(10s);
  Log.record(LogLevel::Debug, "good", {});
  cr_assert_eq(Log.dropped(), 80U);
}

// Guards against a write error that ends the process.
// Guards against an overloaded process that spends its time on telling how many lines it dropped.
Test(boundedlog, droppedLinesAreToldOnceASecond) {
  auto Ends = Pipe();
  auto Clock = ManualClock();
  auto Log = BoundedLog(Ends.m_Ends[1], Clock, LogOptions{10.0, 1.0, 0.0, 100000});
  for (auto Step = 0; Step < 3000; ++Step) {
    Log.record(LogLevel::Warning, "line", {});
    Clock.advance(1ms);
  }
  Log.flush();
  const auto Text = Ends.read();
  auto Reports = 0;
  for (auto At = Text.find("log_lines_dropped"); At != std::string::npos;
       At = Text.find("log_lines_dropped", At + 1)) {
    ++Reports;
  }
  cr_expect_geq(Reports, 2);
  cr_expect_leq(Reports, 3);
}

Test(boundedlog, timesHaveMilliseconds) {
  auto Ends = Pipe();
  auto Clock = ManualClock();
  auto Log = BoundedLog(Ends.m_Ends[1], Clock, LogOptions());
  Clock.advance(1s);
  Log.record(LogLevel::Info, "first", {});
  Clock.advance(7ms);
  Log.record(LogLevel::Info, "second", {});
  Log.flush();
  const auto Text = Ends.read();
  const auto Millisecond = [&Text](const std::string &Event) {
    const auto Line = Text.rfind("time=", Text.find("event=" + Event));
    const auto Dot = Text.find('.', Line);
    cr_assert_eq(Text[Dot + 4], 'Z');
    return std::stoi(Text.substr(Dot + 1, 3));
  };
  cr_assert_eq((Millisecond("second") - Millisecond("first") + 1000) % 1000, 7);
}

Test(boundedlog, invalidDescriptorDiscardsLines) {
  auto Clock = ManualClock();
  auto Log = BoundedLog(-1, Clock, LogOptions());
  Log.record(LogLevel::Warning, "test", {});
  Log.flush();
}
