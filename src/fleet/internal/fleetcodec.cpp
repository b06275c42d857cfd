#include "fleet/fleettypes.h"

#include "base/boundedread.h"
#include "base/shallowjson.h"

#include <cereal/archives/json.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <xxhash.h>

namespace geraniumlift::fleet {

template <typename Archive>
auto save(Archive &Data, const RouterRecord &Record) -> void {
  Data(cereal::make_nvp("name", Record.m_Name),
       cereal::make_nvp("data_centre", Record.m_DataCentre),
       cereal::make_nvp("caller_address", Record.m_CallerAddress),
       cereal::make_nvp("peer_address", Record.m_PeerAddress),
       cereal::make_nvp("peer_port", Record.m_PeerPort), cereal::make_nvp("cores", Record.m_Cores),
       cereal::make_nvp("link_mbps", Record.m_LinkMbps));
}

/// Reads a field that records of earlier versions lack.
template <typename Archive>
auto loadOptional(Archive &Data, const char *Name, double &Out) -> void {
  try {
    Data(cereal::make_nvp(Name, Out));
  } catch (const cereal::Exception &) {
    Out = 0.0;
  }
}

template <typename Archive>
auto load(Archive &Data, RouterRecord &Record) -> void {
  Data(cereal::make_nvp("name", Record.m_Name),
       cereal::make_nvp("data_centre", Record.m_DataCentre),
       cereal::make_nvp("caller_address", Record.m_CallerAddress),
       cereal::make_nvp("peer_address", Record.m_PeerAddress),
       cereal::make_nvp("peer_port", Record.m_PeerPort));
  loadOptional(Data, "cores", Record.m_Cores);
  loadOptional(Data, "link_mbps", Record.m_LinkMbps);
}

template <typename Archive>
auto serialize(Archive &Data, ReportedLoad &Load) -> void {
  Data(Load.m_TargetHash, Load.m_PendingPromptTokens, Load.m_ActiveRequests);
}

template <typename Archive>
auto serialize(Archive &Data, ReportedBudget &Budget) -> void {
  Data(Budget.m_BudgetHash, Budget.m_Available);
}

namespace {

/// Limit on the length of each list in a message. All lists are far shorter in practice, so more
/// entries mean that the bytes are not a message.
constexpr auto MaxEntries = std::size_t{4096};

using InputArchive = cereal::PortableBinaryInputArchive;
using OutputArchive = cereal::PortableBinaryOutputArchive;

/// First byte of an encoded message, in the order of the alternatives of FleetMessage.
constexpr auto KindBytes = std::string_view("HBD");

auto write(OutputArchive &Data, const Heartbeat &Message) -> void {
  Data(Message.m_Router, Message.m_Incarnation, Message.m_Sequence, Message.m_IsLeaving,
       Message.m_WantsDigest, Message.m_StoreAgeMs, Message.m_IsOverloaded, Message.m_IsCutOff,
       Message.m_Loads, Message.m_Budgets);
}

auto write(OutputArchive &Data, const HeartbeatBatch &Message) -> void {
  Data(Message.m_Relay, Message.m_IsResigning,
       cereal::make_size_tag(static_cast<cereal::size_type>(Message.m_Heartbeats.size())));
  for (const auto &Item : Message.m_Heartbeats) {
    Data(Item.m_AgeMs);
    write(Data, Item.m_Heartbeat);
  }
}

auto write(OutputArchive &Data, const FleetDigest &Message) -> void {
  Data(Message.m_Relay, Message.m_Incarnation, Message.m_Sequence, Message.m_IsResigning,
       Message.m_StoreAgeMs, Message.m_Silent, Message.m_Leaving, Message.m_Loads,
       Message.m_Overloaded, Message.m_CutOff);
}

auto read(InputArchive &Data, Heartbeat &Message, std::size_t Size) -> void {
  base::readText(Data, Message.m_Router, Size);
  Data(Message.m_Incarnation, Message.m_Sequence, Message.m_IsLeaving, Message.m_WantsDigest,
       Message.m_StoreAgeMs, Message.m_IsOverloaded, Message.m_IsCutOff);
  base::readEntries(Data, Message.m_Loads, MaxEntries);
  base::readEntries(Data, Message.m_Budgets, MaxEntries);
}

auto read(InputArchive &Data, HeartbeatBatch &Message, std::size_t Size) -> void {
  base::readText(Data, Message.m_Relay, Size);
  Data(Message.m_IsResigning);
  Message.m_Heartbeats.resize(base::readSize(Data, MaxEntries));
  for (auto &Item : Message.m_Heartbeats) {
    Data(Item.m_AgeMs);
    read(Data, Item.m_Heartbeat, Size);
  }
}

auto read(InputArchive &Data, FleetDigest &Message, std::size_t Size) -> void {
  base::readText(Data, Message.m_Relay, Size);
  Data(Message.m_Incarnation, Message.m_Sequence, Message.m_IsResigning, Message.m_StoreAgeMs);
  base::readEntries(Data, Message.m_Silent, MaxEntries);
  base::readEntries(Data, Message.m_Leaving, MaxEntries);
  base::readEntries(Data, Message.m_Loads, MaxEntries);
  base::readEntries(Data, Message.m_Overloaded, MaxEntries);
  base::readEntries(Data, Message.m_CutOff, MaxEntries);
}

/// Reads the alternative of FleetMessage with the index of KindBytes.
template <std::size_t Index = 0>
auto readAlternative(std::size_t Kind, InputArchive &Data, std::size_t Size) -> FleetMessage {
  if constexpr (Index + 1 < std::variant_size_v<FleetMessage>) {
    if (Kind != Index) {
      return readAlternative<Index + 1>(Kind, Data, Size);
    }
  }
  auto Message = std::variant_alternative_t<Index, FleetMessage>();
  read(Data, Message, Size);
  return Message;
}

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
  if (!base::isShallowJson(Text)) {
    return absl::InvalidArgumentError("the JSON of the router's record is nested too deeply");
  }
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

auto encodeMessage(const FleetMessage &Message) -> std::string {
  auto Bytes = std::ostringstream();
  Bytes.put(KindBytes[Message.index()]);
  auto Archive = OutputArchive(Bytes);
  std::visit([&Archive](const auto &Item) { write(Archive, Item); }, Message);
  return Bytes.str();
}

auto isFleetMessage(std::string_view Bytes) -> bool {
  return !Bytes.empty() && KindBytes.find(Bytes.front()) != std::string_view::npos;
}

auto decodeMessage(std::string_view Bytes) -> absl::StatusOr<FleetMessage> {
  if (!isFleetMessage(Bytes)) {
    return absl::InvalidArgumentError("unknown kind of message");
  }
  try {
    auto Stream = std::istringstream(std::string(Bytes.substr(1)));
    auto Archive = InputArchive(Stream);
    return readAlternative(KindBytes.find(Bytes.front()), Archive, Bytes.size());
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

auto hashName(std::string_view Name) -> std::uint32_t { return XXH32(Name.data(), Name.size(), 0); }

} // namespace geraniumlift::fleet
