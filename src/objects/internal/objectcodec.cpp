#include "objects/objectcodec.h"

#include "base/hashing.h"
#include "objects/internal/jsondocument.h"
#include "objects/internal/objectjson.h"

#include <algorithm>

namespace geraniumlift::objects {

namespace {

using internal::JsonWriter;

/// Bits of a name's hash. A group whose names have equal hashes cannot be split.
constexpr int HashBits = 64;

/// An object of a group that becomes a chunk.
template <typename Object>
struct GroupItem {
  std::uint64_t m_Hash = 0;
  const std::string *m_Name = nullptr;
  const Object *m_Content = nullptr;
};

template <typename Object>
using Group = std::vector<GroupItem<Object>>;

auto writeKey(JsonWriter &Writer, std::string_view Key) -> void {
  Writer.Key(Key.data(), static_cast<rapidjson::SizeType>(Key.size()));
}

/// Writes a chunk: {"kind":KIND,"objects":{NAME:{...},...}}
template <typename Object>
auto writeChunk(const Group<Object> &Items) -> std::string {
  auto Buffer = rapidjson::StringBuffer();
  auto Writer = JsonWriter(Buffer);
  Writer.StartObject();
  writeKey(Writer, "kind");
  internal::writeJson(Writer, std::string(internal::kindName<Object>()));
  writeKey(Writer, "objects");
  Writer.StartObject();
  for (const auto &Item : Items) {
    writeKey(Writer, *Item.m_Name);
    internal::writeObject(Writer, *Item.m_Content);
  }
  Writer.EndObject();
  Writer.EndObject();
  return {Buffer.GetString(), Buffer.GetSize()};
}

/// Writes a group as one chunk, or splits it by the given bit of the hash if it is too large. A
/// split keeps the order by name within each group.
template <typename Object>
auto encodeGroup(Group<Object> Items, int Bit, std::vector<Chunk> &Chunks) -> absl::Status {
  if (Items.empty()) {
    return absl::OkStatus();
  }
  auto Text = writeChunk(Items);
  if (Text.size() <= MaxChunkBytes) {
    auto Hash = base::sha256Hex(Text);
    Chunks.push_back({.m_Hash = std::move(Hash), .m_Text = std::move(Text)});
    return absl::OkStatus();
  }
  if (Bit == HashBits || Items.size() == 1) {
    return absl::InvalidArgumentError("an object exceeds the limit of a chunk");
  }
  const auto Middle =
      std::stable_partition(Items.begin(), Items.end(), [Bit](const GroupItem<Object> &Item) {
        return (Item.m_Hash >> static_cast<unsigned>(Bit) & 1U) == 0;
      });
  auto Upper = Group<Object>(Middle, Items.end());
  Items.erase(Middle, Items.end());
  auto Status = encodeGroup(std::move(Items), Bit + 1, Chunks);
  return Status.ok() ? encodeGroup(std::move(Upper), Bit + 1, Chunks) : Status;
}

template <typename Object>
auto encodeKind(const std::map<std::string, Object> &Objects, std::vector<Chunk> &Chunks)
    -> absl::Status {
  auto Items = Group<Object>();
  Items.reserve(Objects.size());
  for (const auto &[Name, Content] : Objects) {
    Items.push_back({.m_Hash = base::hash64(Name), .m_Name = &Name, .m_Content = &Content});
  }
  return encodeGroup(std::move(Items), 0, Chunks);
}

template <typename Object>
auto decodeObjects(const rapidjson::Value &Json, std::map<std::string, Object> &Objects)
    -> absl::Status {
  for (const auto &Entry : Json.GetObject()) {
    auto Name = std::string(Entry.name.GetString(), Entry.name.GetStringLength());
    const auto [Iterator, IsNew] = Objects.try_emplace(Name);
    if (!IsNew) {
      return absl::InvalidArgumentError("the chunks hold an object twice");
    }
    Iterator->second.m_Name = std::move(Name);
    if (auto Status = internal::readObject(Entry.value, Iterator->second); !Status.ok()) {
      return Status;
    }
  }
  return absl::OkStatus();
}

/// Adds the objects of a parsed chunk to the set.
auto decodeDocument(const rapidjson::Document &Document, ObjectSet &Objects) -> absl::Status {
  const auto Kind = Document.FindMember("kind");
  const auto Content = Document.FindMember("objects");
  auto KindName = std::string();
  if (Kind == Document.MemberEnd() || !internal::readJson(Kind->value, KindName) ||
      Content == Document.MemberEnd() || !Content->value.IsObject()) {
    return absl::InvalidArgumentError("the chunk lacks its kind or its objects");
  }
  auto Status = absl::Status(absl::InvalidArgumentError("the chunk is of an unknown kind"));
  internal::forEachKind([&]<typename Object>() {
    if (KindName == internal::kindName<Object>()) {
      Status = decodeObjects(Content->value, Objects.*internal::KindTraits<Object>::Objects);
    }
  });
  return Status;
}

} // namespace

auto encodeChunks(const ObjectSet &Objects) -> absl::StatusOr<std::vector<Chunk>> {
  auto Chunks = std::vector<Chunk>();
  auto Status = absl::OkStatus();
  internal::forEachKind([&]<typename Object>() {
    Status.Update(encodeKind(Objects.*internal::KindTraits<Object>::Objects, Chunks));
  });
  if (!Status.ok()) {
    return Status;
  }
  return Chunks;
}

auto decodeChunk(std::string_view Text, ObjectSet &Objects) -> absl::Status {
  if (Text.size() > MaxChunkBytes) {
    return absl::InvalidArgumentError("the chunk exceeds 256 KB");
  }
  auto Document = internal::JsonDocument();
  if (!Document.parse(Text)) {
    return absl::InvalidArgumentError("the chunk is not a JSON object");
  }
  return decodeDocument(Document, Objects);
}

auto decodeChunks(const std::vector<std::string> &Texts) -> absl::StatusOr<ObjectSet> {
  auto Objects = ObjectSet();
  for (const auto &Text : Texts) {
    if (auto Status = decodeChunk(Text, Objects); !Status.ok()) {
      return Status;
    }
  }
  return Objects;
}

auto encodeObject(const ObjectSet &Objects, ObjectKind Kind, const std::string &Name)
    -> absl::StatusOr<std::string> {
  auto Buffer = rapidjson::StringBuffer();
  auto Writer = JsonWriter(Buffer);
  internal::forEachKind([&]<typename Object>() {
    const auto &Map = Objects.*internal::KindTraits<Object>::Objects;
    if (const auto Found = Map.find(Name);
        internal::KindTraits<Object>::Kind == Kind && Found != Map.end()) {
      internal::writeObject(Writer, Found->second);
    }
  });
  if (Buffer.GetSize() == 0) {
    return absl::NotFoundError("no object of this kind and name");
  }
  return std::string(Buffer.GetString(), Buffer.GetSize());
}

auto objectNames(const ObjectSet &Objects, ObjectKind Kind) -> std::vector<std::string> {
  auto Names = std::vector<std::string>();
  internal::forEachKind([&]<typename Object>() {
    if (internal::KindTraits<Object>::Kind != Kind) {
      return;
    }
    for (const auto &[Name, Content] : Objects.*internal::KindTraits<Object>::Objects) {
      Names.push_back(Name);
    }
  });
  return Names;
}

} // namespace geraniumlift::objects
