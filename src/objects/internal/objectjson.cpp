#include "objects/internal/objectjson.h"

namespace geraniumlift::objects::internal {

namespace {

auto writeText(JsonWriter &Writer, std::string_view Text) -> void {
  Writer.String(Text.data(), static_cast<rapidjson::SizeType>(Text.size()));
}

} // namespace

auto writeJson(JsonWriter &Writer, const std::string &Value) -> void { writeText(Writer, Value); }

auto writeJson(JsonWriter &Writer, std::int64_t Value) -> void { Writer.Int64(Value); }

auto writeJson(JsonWriter &Writer, double Value) -> void { Writer.Double(Value); }

auto writeJson(JsonWriter &Writer, bool Value) -> void { Writer.Bool(Value); }

auto writeJson(JsonWriter &Writer, TargetKind Value) -> void {
  writeText(Writer, base::nameOf(TargetKindNames, Value));
}

auto writeJson(JsonWriter &Writer, const std::vector<std::string> &Value) -> void {
  Writer.StartArray();
  for (const auto &Element : Value) {
    writeText(Writer, Element);
  }
  Writer.EndArray();
}

auto readJson(const rapidjson::Value &Json, std::string &Out) -> bool {
  if (!Json.IsString()) {
    return false;
  }
  Out.assign(Json.GetString(), Json.GetStringLength());
  return true;
}

auto readJson(const rapidjson::Value &Json, std::int64_t &Out) -> bool {
  if (!Json.IsInt64()) {
    return false;
  }
  Out = Json.GetInt64();
  return true;
}

auto readJson(const rapidjson::Value &Json, double &Out) -> bool {
  if (!Json.IsNumber()) {
    return false;
  }
  Out = Json.GetDouble();
  return true;
}

auto readJson(const rapidjson::Value &Json, bool &Out) -> bool {
  if (!Json.IsBool()) {
    return false;
  }
  Out = Json.GetBool();
  return true;
}

auto readJson(const rapidjson::Value &Json, TargetKind &Out) -> bool {
  auto Name = std::string();
  const auto Kind = readJson(Json, Name) ? base::valueOf(TargetKindNames, Name) : std::nullopt;
  Out = Kind.value_or(TargetKind::Engine);
  return Kind.has_value();
}

auto readJson(const rapidjson::Value &Json, std::vector<std::string> &Out) -> bool {
  if (!Json.IsArray()) {
    return false;
  }
  Out.reserve(Json.Size());
  for (const auto &Element : Json.GetArray()) {
    if (!readJson(Element, Out.emplace_back())) {
      return false;
    }
  }
  return true;
}

} // namespace geraniumlift::objects::internal
