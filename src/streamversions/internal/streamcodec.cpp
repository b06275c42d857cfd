#include "base/boundedread.h"
#include "base/hashing.h"
#include "base/rapidjson.h"
#include "streamversions/streamversiontypes.h"

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <sstream>

namespace geraniumlift::streamversions {

namespace {

/// Limits on what a message may hold; a datagram is smaller.
constexpr auto MaxReports = std::size_t{1024};
constexpr auto MaxVersions = std::size_t{256};

/// First byte of an encoded message, in the order of the alternatives of StreamMessage.
constexpr auto KindBytes = std::string_view("SQRV");

using InputArchive = cereal::PortableBinaryInputArchive;
using OutputArchive = cereal::PortableBinaryOutputArchive;

auto write(OutputArchive &Data, const OriginReports &Message) -> void {
  Data(cereal::make_size_tag(static_cast<cereal::size_type>(Message.m_Reports.size())));
  for (const auto &Item : Message.m_Reports) {
    Data(Item.m_Key, Item.m_Origin.m_Pool, Item.m_Origin.m_Version);
  }
}

auto write(OutputArchive &Data, const OriginQuery &Message) -> void {
  Data(Message.m_Router, Message.m_Id, Message.m_Key);
}

auto write(OutputArchive &Data, const OriginReply &Message) -> void {
  Data(Message.m_Id, Message.m_IsKnown, Message.m_Origin.m_Pool, Message.m_Origin.m_Version);
}

auto write(OutputArchive &Data, const RecordUpdate &Message) -> void {
  const auto &Record = Message.m_Record;
  Data(Message.m_Router, Record.m_Pool, Record.m_Revision,
       std::vector<std::string>(Record.m_Versions.begin(), Record.m_Versions.end()));
}

auto readOrigin(InputArchive &Data, StreamOrigin &Origin, std::size_t Size) -> void {
  base::readText(Data, Origin.m_Pool, Size);
  base::readText(Data, Origin.m_Version, Size);
}

auto read(InputArchive &Data, OriginReports &Message, std::size_t Size) -> void {
  Message.m_Reports.resize(base::readSize(Data, MaxReports));
  for (auto &Item : Message.m_Reports) {
    Data(Item.m_Key);
    readOrigin(Data, Item.m_Origin, Size);
  }
}

auto read(InputArchive &Data, OriginQuery &Message, std::size_t Size) -> void {
  base::readText(Data, Message.m_Router, Size);
  Data(Message.m_Id, Message.m_Key);
}

auto read(InputArchive &Data, OriginReply &Message, std::size_t Size) -> void {
  Data(Message.m_Id, Message.m_IsKnown);
  readOrigin(Data, Message.m_Origin, Size);
}

auto read(InputArchive &Data, RecordUpdate &Message, std::size_t Size) -> void {
  auto &Record = Message.m_Record;
  base::readText(Data, Message.m_Router, Size);
  base::readText(Data, Record.m_Pool, Size);
  Data(Record.m_Revision);
  const auto Count = base::readSize(Data, MaxVersions);
  for (auto Index = std::size_t{0}; Index < Count; ++Index) {
    auto Version = std::string();
    base::readText(Data, Version, Size);
    Record.m_Versions.insert(std::move(Version));
  }
}

/// Returns the member, or nullptr if the value is no object or has none of that name.
auto findMember(const rapidjson::Value &Object, const char *Name) -> const rapidjson::Value * {
  if (!Object.IsObject()) {
    return nullptr;
  }
  const auto Found = Object.FindMember(Name);
  return Found == Object.MemberEnd() ? nullptr : &Found->value;
}

template <typename Message>
auto readMessage(InputArchive &Data, std::size_t Size) -> StreamMessage {
  auto Result = Message();
  read(Data, Result, Size);
  return Result;
}

} // namespace

auto streamKey(std::string_view Workspace, std::string_view RequestId) -> StreamKey {
  // The length keeps names and IDs apart that only join to the same text.
  return base::hash64(
      std::to_string(Workspace.size()).append("/").append(Workspace).append("/").append(RequestId));
}

auto encodeMessage(const StreamMessage &Message) -> std::string {
  auto Bytes = std::ostringstream();
  Bytes.put(KindBytes[Message.index()]);
  auto Data = OutputArchive(Bytes);
  std::visit([&Data](const auto &Item) { write(Data, Item); }, Message);
  return Bytes.str();
}

auto decodeMessage(std::string_view Bytes) -> absl::StatusOr<StreamMessage> {
  const auto Kind = Bytes.empty() ? std::string_view::npos : KindBytes.find(Bytes.front());
  if (Kind == std::string_view::npos) {
    return absl::InvalidArgumentError("unknown kind of message");
  }
  try {
    auto Stream = std::istringstream(std::string(Bytes.substr(1)));
    auto Data = InputArchive(Stream);
    constexpr auto Readers = std::array{&readMessage<OriginReports>, &readMessage<OriginQuery>,
                                        &readMessage<OriginReply>, &readMessage<RecordUpdate>};
    return Readers[Kind](Data, Bytes.size());
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

auto encodeOrigins(const std::vector<OriginReport> &Reports) -> std::string {
  // Few pools and versions have many streams, so the keys are listed by pool and version.
  auto ByOrigin = std::map<std::pair<std::string, std::string>, std::vector<StreamKey>>();
  for (const auto &Item : Reports) {
    ByOrigin[{Item.m_Origin.m_Pool, Item.m_Origin.m_Version}].push_back(Item.m_Key);
  }
  auto Buffer = rapidjson::StringBuffer();
  auto Out = rapidjson::Writer<rapidjson::StringBuffer>(Buffer);
  Out.StartArray();
  for (const auto &[Origin, Keys] : ByOrigin) {
    Out.StartObject();
    Out.Key("pool");
    Out.String(Origin.first.data(), static_cast<rapidjson::SizeType>(Origin.first.size()));
    Out.Key("version");
    Out.String(Origin.second.data(), static_cast<rapidjson::SizeType>(Origin.second.size()));
    Out.Key("streams");
    Out.StartArray();
    for (const auto Key : Keys) {
      Out.Uint64(Key);
    }
    Out.EndArray();
    Out.EndObject();
  }
  Out.EndArray();
  return {Buffer.GetString(), Buffer.GetSize()};
}

auto decodeOrigins(std::string_view Text) -> absl::StatusOr<std::vector<OriginReport>> {
  auto Document = rapidjson::Document();
  Document.Parse<rapidjson::kParseIterativeFlag>(Text.data(), Text.size());
  if (Document.HasParseError() || !Document.IsArray()) {
    return absl::InvalidArgumentError("not a JSON array");
  }
  auto Reports = std::vector<OriginReport>();
  for (const auto &Group : Document.GetArray()) {
    const auto *Pool = findMember(Group, "pool");
    const auto *Version = findMember(Group, "version");
    const auto *Streams = findMember(Group, "streams");
    if (Pool == nullptr || !Pool->IsString() || Version == nullptr || !Version->IsString() ||
        Streams == nullptr || !Streams->IsArray()) {
      return absl::InvalidArgumentError("no pool, version or streams");
    }
    const auto Origin = StreamOrigin{Pool->GetString(), Version->GetString()};
    for (const auto &Key : Streams->GetArray()) {
      if (!Key.IsUint64()) {
        return absl::InvalidArgumentError("a stream is no whole number");
      }
      Reports.push_back({Key.GetUint64(), Origin});
    }
  }
  return Reports;
}

auto encodeVersions(const std::set<std::string> &Versions) -> std::string {
  auto Buffer = rapidjson::StringBuffer();
  auto Out = rapidjson::Writer<rapidjson::StringBuffer>(Buffer);
  Out.StartObject();
  Out.Key("versions");
  Out.StartArray();
  for (const auto &Version : Versions) {
    Out.String(Version.data(), static_cast<rapidjson::SizeType>(Version.size()));
  }
  Out.EndArray();
  Out.EndObject();
  return {Buffer.GetString(), Buffer.GetSize()};
}

auto decodeVersions(std::string_view Text) -> absl::StatusOr<std::set<std::string>> {
  auto Document = rapidjson::Document();
  if (!base::parseObject(Text, Document)) {
    return absl::InvalidArgumentError("not a JSON object");
  }
  const auto Found = Document.FindMember("versions");
  if (Found == Document.MemberEnd() || !Found->value.IsArray()) {
    return absl::InvalidArgumentError("no list of versions");
  }
  auto Versions = std::set<std::string>();
  for (const auto &Item : Found->value.GetArray()) {
    if (!Item.IsString()) {
      return absl::InvalidArgumentError("a version is no text");
    }
    Versions.emplace(Item.GetString(), Item.GetStringLength());
  }
  return Versions;
}

} // namespace geraniumlift::streamversions
