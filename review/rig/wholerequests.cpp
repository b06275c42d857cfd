// Many clients at once send whole requests of legal size: a header of nearly 16 KB and a body of
// 18 KB. Without trouble there is no crowd.

#include "crowd.h"

#include <fmt/format.h>

namespace {

using namespace geraniumlift::review;

/// Under half of the channels that the router accepts.
constexpr auto Channels = 1200;

/// The mean size of the bodies of the sheet's dossiers.
constexpr auto BodyBytes = std::size_t{18'000};

/// Parts of the prompt, which bring the header to 15 KB of the 16,384 bytes that are allowed.
constexpr auto Parts = 1100;
constexpr auto PartTokens = 8;
constexpr auto LastPartTokens = 200;

auto commonParts() -> std::string {
  auto Text = std::string();
  for (auto Part = 0; Part < Parts; ++Part) {
    Text += fmt::format("{:08x}:{},", 0x10000000 + Part, PartTokens);
  }
  return Text;
}

auto request(int Number) -> std::string {
  static const auto Prefix = commonParts();
  return fmt::format("POST /dossier/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd-{}\r\nModel: m\r\n"
                     "Token-Usage: {},50\r\nPrompt-Prefix: {}{:08x}:{}\r\nDeadline-Ms: 5000\r\n"
                     "Authorization: Bearer k\r\nContent-Length: {}\r\n\r\n",
                     Number, Parts * PartTokens + LastPartTokens, Prefix, 0x40000000 + Number,
                     LastPartTokens, BodyBytes) +
         std::string(BodyBytes, 'x');
}

} // namespace

auto main(int Count, char **Arguments) -> int {
  const auto Options = readOptions(Count, Arguments);
  auto Log = Record(Options.m_Record);
  auto Plan = CrowdPlan();
  if (Options.m_HasTrouble) {
    Plan.m_Channels = Channels;
    Plan.m_Request = request;
  }
  return playCrowd(Options, Plan, Log);
}
