#pragma once

#include "base/rapidjson.h"
#include "objects/internal/objectfields.h"

#include <absl/status/status.h>
#include <string>

namespace geraniumlift::objects::internal {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

/// Writes one value. Numbers are written in the shortest form that parses to the same value.
auto writeJson(JsonWriter &Writer, const std::string &Value) -> void;
auto writeJson(JsonWriter &Writer, std::int64_t Value) -> void;
auto writeJson(JsonWriter &Writer, double Value) -> void;
auto writeJson(JsonWriter &Writer, bool Value) -> void;
auto writeJson(JsonWriter &Writer, TargetKind Value) -> void;
auto writeJson(JsonWriter &Writer, const std::vector<std::string> &Value) -> void;

/// Reads one value; returns false if the JSON value has another type.
auto readJson(const rapidjson::Value &Json, std::string &Out) -> bool;
auto readJson(const rapidjson::Value &Json, std::int64_t &Out) -> bool;
auto readJson(const rapidjson::Value &Json, double &Out) -> bool;
auto readJson(const rapidjson::Value &Json, bool &Out) -> bool;
auto readJson(const rapidjson::Value &Json, TargetKind &Out) -> bool;
auto readJson(const rapidjson::Value &Json, std::vector<std::string> &Out) -> bool;

template <typename Value>
auto readJson(const rapidjson::Value &Json, std::optional<Value> &Out) -> bool {
  return readJson(Json, Out.emplace());
}

template <typename Value>
auto writeField(JsonWriter &Writer, std::string_view Name, const Value &Content) -> void {
  Writer.Key(Name.data(), static_cast<rapidjson::SizeType>(Name.size()));
  writeJson(Writer, Content);
}

/// Writes an optional field; omits it if it has no value.
template <typename Value>
auto writeField(JsonWriter &Writer, std::string_view Name, const std::optional<Value> &Content)
    -> void {
  if (Content) {
    writeField(Writer, Name, *Content);
  }
}

/// Writes the fields of one object in the order of the field table, without the name.
template <typename Object>
auto writeObject(JsonWriter &Writer, const Object &Content) -> void {
  Writer.StartObject();
  for (const auto &Descriptor : KindTraits<Object>::Fields) {
    std::visit([&](auto Member) { writeField(Writer, Descriptor.m_Name, Content.*Member); },
               Descriptor.m_Member);
  }
  Writer.EndObject();
}

/// Reads the fields that the JSON value has; the others keep their defaults. Returns
/// InvalidArgument if the value is not an object or a field has the wrong type.
template <typename Object>
auto readObject(const rapidjson::Value &Json, Object &Out) -> absl::Status {
  if (!Json.IsObject()) {
    return absl::InvalidArgumentError("an object of the chunk is not a JSON object");
  }
  for (const auto &Descriptor : KindTraits<Object>::Fields) {
    const auto Found = Json.FindMember(rapidjson::Value(
        Descriptor.m_Name.data(), static_cast<rapidjson::SizeType>(Descriptor.m_Name.size())));
    const auto IsValid =
        Found == Json.MemberEnd() ||
        std::visit([&](auto Member) { return readJson(Found->value, Out.*Member); },
                   Descriptor.m_Member);
    if (!IsValid) {
      return absl::InvalidArgumentError("a field of the chunk has the wrong type");
    }
  }
  return absl::OkStatus();
}

} // namespace geraniumlift::objects::internal
