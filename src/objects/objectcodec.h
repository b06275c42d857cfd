#pragma once

#include "objects/objectkind.h"
#include "objects/objecttypes.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::objects {

/// Limit on the text of one chunk, in bytes.
inline constexpr std::size_t MaxChunkBytes = std::size_t{256} * 1024;

/// A part of an encoded set, identified by the hash of its content.
struct Chunk {
  /// SHA-256 of the text, 64 lower-case hexadecimal digits.
  std::string m_Hash;

  /// Canonical JSON: the same objects always give the same bytes.
  std::string m_Text;
};

/// Encodes a set. Objects are grouped by kind and by the hash of their name; a group that exceeds
/// MaxChunkBytes is split by the next bit of the hash. A change of one object therefore changes one
/// chunk, or two where a group is split or joined. A single object within the limits that
/// checkObjects() enforces always fits into a chunk; InvalidArgument for one that does not.
auto encodeChunks(const ObjectSet &Objects) -> absl::StatusOr<std::vector<Chunk>>;

/// Adds the objects of one chunk to a set. Returns InvalidArgument for a text that is larger than
/// MaxChunkBytes or malformed, and for an object that the set already has. Unknown fields are
/// ignored, so that an older router can read what a newer publisher wrote. After an error the set
/// may hold some of the objects.
auto decodeChunk(std::string_view Text, ObjectSet &Objects) -> absl::Status;

/// Decodes all chunks of a set, in any order. InvalidArgument as for decodeChunk().
auto decodeChunks(const std::vector<std::string> &Texts) -> absl::StatusOr<ObjectSet>;

/// Writes one object as canonical JSON; NotFound if the set lacks it.
auto encodeObject(const ObjectSet &Objects, ObjectKind Kind, const std::string &Name)
    -> absl::StatusOr<std::string>;

/// Returns the names of all objects of a kind, sorted.
auto objectNames(const ObjectSet &Objects, ObjectKind Kind) -> std::vector<std::string>;

} // namespace geraniumlift::objects
