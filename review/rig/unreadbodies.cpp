// Clients send a stream request each and, without waiting for its answer, a large body of legal
// size that stops just short of its end. Without trouble they send the requests alone.

#include "crowd.h"

#include <fmt/format.h>

namespace {

using namespace geraniumlift::review;

/// Under half of the channels that the router accepts.
constexpr auto Channels = 1200;

/// `maxBodyBytes` allows 4 MB.
constexpr auto BodyBytes = std::size_t{200'000};

auto head(int Number, std::string_view Kind, std::size_t Length) -> std::string {
  return fmt::format("POST /dossier/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: {0}-{1}\r\nModel: m\r\n"
                     "Token-Usage: 600,50\r\nPrompt-Prefix: c0000000:400,{2:08x}:200\r\n"
                     "Deadline-Ms: 5000\r\nAuthorization: Bearer k\r\nContent-Length: {3}\r\n\r\n",
                     Kind, Number, 0x40000000 + Number, Length);
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  const auto Options = readOptions(Count, Arguments);
  auto Log = Record(Options.m_Record);
  auto Plan = CrowdPlan();
  Plan.m_Channels = Channels;
  Plan.m_Request = [](int Number) { return head(Number, "crowd", 5) + "hello"; };
  if (Options.m_HasTrouble) {
    Plan.m_Surplus = [](int Number) {
      return head(Number, "body", BodyBytes + 1) + std::string(BodyBytes, 'x');
    };
  }
  return playCrowd(Options, Plan, Log);
}
