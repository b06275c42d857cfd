#pragma once

// RapidJSON in a namespace of its own. cereal's JSON archives use RapidJSON in its usual namespace
// with assertions that throw; the same functions with another meaning of the assertion in one
// program would be merged by the linker, and cereal would then read past wrong types instead of
// throwing.
#define RAPIDJSON_NAMESPACE geraniumlift::rapidjson
#define RAPIDJSON_NAMESPACE_BEGIN                                                                  \
  namespace geraniumlift {                                                                         \
  namespace rapidjson {
#define RAPIDJSON_NAMESPACE_END                                                                    \
  }                                                                                                \
  }

#include <rapidjson/document.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <string_view>

namespace geraniumlift::base {

/// Parses a document; false if the text is no JSON object. Deep nesting takes no stack.
inline auto parseObject(std::string_view Text, rapidjson::Document &Document) -> bool {
  Document.Parse<rapidjson::kParseIterativeFlag>(Text.data(), Text.size());
  return !Document.HasParseError() && Document.IsObject();
}

} // namespace geraniumlift::base
