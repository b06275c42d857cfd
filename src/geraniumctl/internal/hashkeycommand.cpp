#include "base/hashing.h"
#include "geraniumctl/internal/commands.h"

#include <istream>
#include <ostream>

namespace geraniumlift::geraniumctl::internal {

auto runHashKey(CommandContext &Context) -> ExitCode {
  auto Key = std::string();
  std::getline(Context.m_In, Key);
  if (!Key.empty() && Key.back() == '\r') {
    Key.pop_back();
  }
  if (Key.empty()) {
    Context.m_Error << "geraniumctl: no API key on standard input\n";
    return ExitCode::Refused;
  }
  const auto Hash = base::sha256Hex(Key);
  Context.m_Out << (Context.m_Options.m_Output == OutputFormat::Json
                        ? "{\"sha256\":\"" + Hash + "\"}"
                        : Hash)
                << '\n';
  return ExitCode::Success;
}

} // namespace geraniumlift::geraniumctl::internal
