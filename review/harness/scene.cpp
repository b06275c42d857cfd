#include "scene.h"

#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <iostream>

namespace review {

auto isTroubled() -> bool {
  const auto *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

TemporaryFolder::TemporaryFolder() {
  m_Path = (std::filesystem::temp_directory_path() / "geraniumlift-review-XXXXXX").string();
  if (::mkdtemp(m_Path.data()) == nullptr) {
    std::exit(CouldNotRun);
  }
}

TemporaryFolder::~TemporaryFolder() {
  auto Ignored = std::error_code();
  std::filesystem::remove_all(m_Path, Ignored);
}

auto send(int RouterPort, const Attempt &Request) -> Outcome {
  auto Channel = Connection(Connection::connectTo(RouterPort));
  auto Text = fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
                          "Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n",
                          Request.m_Method, Request.m_Path, Request.m_Id, Request.m_DeadlineMs,
                          Request.m_Key);
  if (Request.m_PromptTokens > 0) {
    Text += fmt::format("Model: m\r\nToken-Usage: {},{}\r\nPrompt-Prefix: aa:{},{}:{}\r\n",
                        Request.m_PromptTokens, Request.m_OutputLimit, Request.m_PromptTokens / 2,
                        Request.m_Id, Request.m_PromptTokens - Request.m_PromptTokens / 2);
  }
  Text += Request.m_Method == "POST" ? "Content-Length: 4\r\n\r\nbody" : "\r\n";
  auto Answer = Message();
  auto Result = Outcome();
  if (!Channel.write(Text)) {
    return Result;
  }
  Result.m_IsComplete = Channel.read(Answer, std::chrono::milliseconds(Request.m_DeadlineMs));
  Result.m_Body = Answer.m_Body;
  const auto Status = Answer.secondWord();
  if (Result.m_IsComplete && !Status.empty()) {
    Result.m_Status = std::stoi(Status);
  }
  return Result;
}

auto Record::secondsAt(std::chrono::steady_clock::time_point Time) const -> double {
  return std::chrono::duration<double>(Time - m_Start).count();
}

auto Record::note(const std::string &Line) -> void {
  const auto Lock = std::lock_guard(m_Mutex);
  m_File << fmt::format("{:9.3f} {}\n", secondsAt(std::chrono::steady_clock::now()), Line)
         << std::flush;
}

} // namespace review
