#include "configuration/manifest.h"

#include "base/rapidjson.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <set>

namespace geraniumlift::configuration {

namespace {

/// Increase this when older routers could misread the manifest or the chunks.
constexpr unsigned FormatVersion = 1;
constexpr std::size_t MaxManifestBytes = std::size_t{1024} * 1024;
constexpr std::size_t MaxPublicationIdBytes = 64;
constexpr std::size_t HashHexDigits = 64;

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

auto writeText(Writer &Json, std::string_view Text) -> void {
  Json.String(Text.data(), static_cast<rapidjson::SizeType>(Text.size()));
}

auto writeList(Writer &Json, const char *Key, const std::vector<std::string> &Texts) -> void {
  Json.Key(Key);
  Json.StartArray();
  for (const auto &Text : Texts) {
    writeText(Json, Text);
  }
  Json.EndArray();
}

auto isHash(std::string_view Text) -> bool {
  return Text.size() == HashHexDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

/// Reads a list of at most MaxSize distinct strings that are all valid. Returns false for any other
/// value.
auto readList(const rapidjson::Document &Json, const char *Key, std::size_t MaxSize,
              bool (*IsValid)(std::string_view), std::vector<std::string> &Out) -> bool {
  const auto Found = Json.FindMember(Key);
  if (Found == Json.MemberEnd() || !Found->value.IsArray() || Found->value.Size() > MaxSize) {
    return false;
  }
  auto Seen = std::set<std::string>();
  for (const auto &Element : Found->value.GetArray()) {
    if (!Element.IsString()) {
      return false;
    }
    Out.emplace_back(Element.GetString(), Element.GetStringLength());
    if (!IsValid(Out.back()) || !Seen.insert(Out.back()).second) {
      return false;
    }
  }
  return true;
}

auto readNumber(const rapidjson::Document &Json, const char *Key, std::uint64_t &Out) -> bool {
  const auto Found = Json.FindMember(Key);
  if (Found == Json.MemberEnd() || !Found->value.IsUint64()) {
    return false;
  }
  Out = Found->value.GetUint64();
  return true;
}

/// Whether the fields of a manifest are consistent with one another.
auto isConsistent(const Manifest &Content) -> bool {
  return Content.m_Generation >= 1 && !Content.m_RecentPublications.empty() &&
         Content.m_RecentPublications.size() <= Content.m_Generation;
}

} // namespace

auto isPublicationId(std::string_view Text) -> bool {
  return !Text.empty() && Text.size() <= MaxPublicationIdBytes &&
         std::all_of(Text.begin(), Text.end(), [](char Byte) {
           return absl::ascii_isalnum(static_cast<unsigned char>(Byte)) ||
                  std::string_view("._:-").find(Byte) != std::string_view::npos;
         });
}

auto chunkKey(std::string_view Hash) -> std::string {
  return "geraniumlift/config/chunk/" + std::string(Hash);
}

auto encodeManifest(const Manifest &Content) -> std::string {
  auto Buffer = rapidjson::StringBuffer();
  auto Json = Writer(Buffer);
  Json.StartObject();
  Json.Key("format");
  Json.Uint(FormatVersion);
  Json.Key("generation");
  Json.Uint64(Content.m_Generation);
  writeList(Json, "chunks", Content.m_ChunkHashes);
  writeList(Json, "publications", Content.m_RecentPublications);
  Json.EndObject();
  return {Buffer.GetString(), Buffer.GetSize()};
}

auto decodeManifest(std::string_view Text) -> absl::StatusOr<Manifest> {
  if (Text.size() > MaxManifestBytes) {
    return absl::InvalidArgumentError("the manifest exceeds 1 MB");
  }
  auto Json = rapidjson::Document();
  Json.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(Text.data(),
                                                                                     Text.size());
  if (Json.HasParseError() || !Json.IsObject()) {
    return absl::InvalidArgumentError("the manifest is not a JSON object");
  }
  auto Format = std::uint64_t{0};
  if (!readNumber(Json, "format", Format) || Format != FormatVersion) {
    return absl::InvalidArgumentError("the manifest has an unknown format");
  }
  auto Content = Manifest();
  const auto HasValidFields = readNumber(Json, "generation", Content.m_Generation) &&
                              readList(Json, "chunks", MaxChunks, isHash, Content.m_ChunkHashes) &&
                              readList(Json, "publications", MaxRecentPublications, isPublicationId,
                                       Content.m_RecentPublications);
  if (!HasValidFields || !isConsistent(Content)) {
    return absl::InvalidArgumentError("the manifest has missing or wrong fields");
  }
  Content.m_PublicationId = Content.m_RecentPublications.back();
  return Content;
}

auto generationOf(const Manifest &Content, std::string_view PublicationId)
    -> std::optional<Generation> {
  const auto &Recent = Content.m_RecentPublications;
  const auto Found = std::find(Recent.begin(), Recent.end(), PublicationId);
  if (Found == Recent.end()) {
    return std::nullopt;
  }
  return Content.m_Generation - static_cast<Generation>(Recent.end() - Found - 1);
}

auto nextManifest(const Manifest &Before, std::string PublicationId,
                  std::vector<std::string> ChunkHashes) -> Manifest {
  auto Next = Manifest{.m_Generation = Before.m_Generation + 1,
                       .m_PublicationId = PublicationId,
                       .m_ChunkHashes = std::move(ChunkHashes),
                       .m_RecentPublications = Before.m_RecentPublications};
  auto &Recent = Next.m_RecentPublications;
  Recent.push_back(std::move(PublicationId));
  if (Recent.size() > MaxRecentPublications) {
    Recent.erase(Recent.begin(), Recent.end() - MaxRecentPublications);
  }
  return Next;
}

} // namespace geraniumlift::configuration
