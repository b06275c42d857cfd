#include "fleet/fleettypes.h"

#include "base/boundedread.h"

#include <cereal/archives/json.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <xxhash.h>

namespace geraniumlift::fleet {

template <typename Archive>
auto serialize(Archive &Data, RouterRecord &Record) -> void {
  Data(cereal::make_nvp("name", Record.m_Name),
       cereal::make_nvp("data_centre", Record.m_DataCentre),
       cereal::make_nvp("caller_address", Record.m_CallerAddress),
       cereal::make_nvp("peer_address", Record.m_PeerAddress),
       cereal::make_nvp("peer_port", Record.m_PeerPort));
}

template <typename Archive>
auto serialize(Archive &Data, ReportedLoad &Load) -> void {
  Data(Load.m_TargetHash, Load.m_PendingPromptTokens, Load.m_ActiveRequests);
}

template <typename Archive>
auto serialize(Archive &Data, ReportedBudget &Budget) -> void {
  Data(Budget.m_BudgetHash, Budget.m_Available);
}

template <typename Archive>
auto serialize(Archive &Data, Heartbeat &Message) -> void {
  Data(Message.m_Router, Message.m_Incarnation, Message.m_Sequence, Message.m_IsLeaving,
       Message.m_Loads, Message.m_Budgets);
}

namespace {

/// Limit on the loads and on the budgets of a heartbeat. Both lists are far shorter in practice, so
/// more entries mean that the bytes are not a heartbeat.
constexpr auto MaxEntries = std::size_t{4096};

} // namespace

auto encodeRouter(const RouterRecord &Record) -> std::string {
  auto Text = std::ostringstream();
  {
    auto Archive = cereal::JSONOutputArchive(Text, cereal::JSONOutputArchive::Options::NoIndent());
    Archive(cereal::make_nvp("router", Record));
  }
  return Text.str();
}

auto decodeRouter(std::string_view Text) -> absl::StatusOr<RouterRecord> {
  try {
    auto Stream = std::istringstream(std::string(Text));
    auto Archive = cereal::JSONInputArchive(Stream);
    auto Record = RouterRecord();
    Archive(cereal::make_nvp("router", Record));
    return Record;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

auto encodeHeartbeat(const Heartbeat &Message) -> std::string {
  auto Bytes = std::ostringstream();
  auto Archive = cereal::PortableBinaryOutputArchive(Bytes);
  Archive(Message);
  return Bytes.str();
}

auto decodeHeartbeat(std::string_view Bytes) -> absl::StatusOr<Heartbeat> {
  try {
    auto Stream = std::istringstream(std::string(Bytes));
    auto Archive = cereal::PortableBinaryInputArchive(Stream);
    auto Message = Heartbeat();
    base::readText(Archive, Message.m_Router, Bytes.size());
    Archive(Message.m_Incarnation, Message.m_Sequence, Message.m_IsLeaving);
    base::readEntries(Archive, Message.m_Loads, MaxEntries);
    base::readEntries(Archive, Message.m_Budgets, MaxEntries);
    return Message;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

auto hashName(std::string_view Name) -> std::uint32_t { return XXH32(Name.data(), Name.size(), 0); }

} // namespace geraniumlift::fleet
