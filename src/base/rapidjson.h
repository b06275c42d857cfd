#pragma once

// Places RapidJSON in a namespace of its own. cereal's JSON archives use it in the default
// namespace with assertions that throw. In a shared namespace, the linker would merge functions
// compiled with different assertions, and cereal would read values of a wrong type instead of
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

/// Parses a document; false if the text is not a JSON object. Nesting depth does not use the stack.
inline auto parseObject(std::string_view Text, rapidjson::Document &Document) -> bool {
  Document.Parse<rapidjson::kParseIterativeFlag>(Text.data(), Text.size());
  return !Document.HasParseError() && Document.IsObject();
}

} // namespace geraniumlift::base
