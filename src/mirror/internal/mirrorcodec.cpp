#include "mirror/mirrortypes.h"

#include "base/boundedread.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace geraniumlift::mirror {

namespace {

/// Limit on the length of each list in a message. All lists are shorter in practice, so more
/// entries mean that the bytes are not a message.
constexpr auto MaxEntries = std::size_t{4096};

using InputArchive = cereal::PortableBinaryInputArchive;
using OutputArchive = cereal::PortableBinaryOutputArchive;

auto writeSize(OutputArchive &Data, std::size_t Size) -> void {
  Data(cereal::make_size_tag(static_cast<cereal::size_type>(Size)));
}

auto readChanges(InputArchive &Data, PrefixChanges &Changes, std::size_t MaxText) -> void {
  Data(Changes.m_After, Changes.m_Until, Changes.m_AgeMs, Changes.m_IsComplete,
       Changes.m_IsTooLarge);
  Changes.m_Events.resize(base::readSize(Data, MaxEntries));
  for (auto &Event : Changes.m_Events) {
    base::readText(Data, Event.m_Item.m_Key, MaxText);
    base::readText(Data, Event.m_Item.m_Value, MaxText);
    Data(Event.m_Item.m_CreateRevision, Event.m_Item.m_ModRevision, Event.m_IsRemoved);
  }
}

} // namespace

auto encodeRequest(const MirrorRequest &Message) -> std::string {
  auto Bytes = std::ostringstream();
  auto Data = OutputArchive(Bytes);
  Data(Message.m_Router, Message.m_Revisions, Message.m_Number);
  return Bytes.str();
}

auto encodeUpdate(const MirrorUpdate &Message) -> std::string {
  auto Bytes = std::ostringstream();
  auto Data = OutputArchive(Bytes);
  Data(Message.m_Relay, Message.m_RequestNumber);
  writeSize(Data, Message.m_Prefixes.size());
  for (const auto &Changes : Message.m_Prefixes) {
    Data(Changes.m_After, Changes.m_Until, Changes.m_AgeMs, Changes.m_IsComplete,
         Changes.m_IsTooLarge);
    writeSize(Data, Changes.m_Events.size());
    for (const auto &Event : Changes.m_Events) {
      Data(Event.m_Item.m_Key, Event.m_Item.m_Value, Event.m_Item.m_CreateRevision,
           Event.m_Item.m_ModRevision, Event.m_IsRemoved);
    }
  }
  return Bytes.str();
}

auto decodeRequest(std::string_view Bytes) -> absl::StatusOr<MirrorRequest> {
  try {
    auto Stream = std::istringstream(std::string(Bytes));
    auto Data = InputArchive(Stream);
    auto Message = MirrorRequest();
    base::readText(Data, Message.m_Router, Bytes.size());
    base::readEntries(Data, Message.m_Revisions, MaxEntries);
    Data(Message.m_Number);
    return Message;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

auto decodeUpdate(std::string_view Bytes) -> absl::StatusOr<MirrorUpdate> {
  try {
    auto Stream = std::istringstream(std::string(Bytes));
    auto Data = InputArchive(Stream);
    auto Message = MirrorUpdate();
    base::readText(Data, Message.m_Relay, Bytes.size());
    Data(Message.m_RequestNumber);
    Message.m_Prefixes.resize(base::readSize(Data, MaxEntries));
    for (auto &Changes : Message.m_Prefixes) {
      readChanges(Data, Changes, Bytes.size());
    }
    return Message;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace geraniumlift::mirror
