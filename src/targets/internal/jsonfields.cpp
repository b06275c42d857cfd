#include "targets/internal/jsonfields.h"

#include <cpprest/json.h>

namespace geraniumlift::targets {

namespace {

using web::json::value;

auto parseObject(std::string_view Json) -> absl::StatusOr<value> {
  try {
    auto Parsed = value::parse(std::string(Json));
    if (!Parsed.is_object()) {
      return absl::InvalidArgumentError("the text is not a JSON object");
    }
    return Parsed;
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

/// Value of a count field; 0 if it is absent, negative or not an integer.
auto countField(const value &Object, const std::string &Name) -> std::int64_t {
  if (!Object.has_number_field(Name)) {
    return 0;
  }
  const auto &Number = Object.at(Name).as_number();
  return Number.is_int64() ? std::max<std::int64_t>(Number.to_int64(), 0) : 0;
}

auto hasFinishReason(const value &Event) -> bool {
  if (!Event.has_array_field("choices")) {
    return false;
  }
  for (const auto &Choice : Event.at("choices").as_array()) {
    if (Choice.is_object() && Choice.has_string_field("finish_reason")) {
      return true;
    }
  }
  return false;
}

auto usageOf(const value &Event) -> std::optional<Usage> {
  if (!Event.has_object_field("usage")) {
    return std::nullopt;
  }
  const auto &Fields = Event.at("usage");
  return Usage{countField(Fields, "prompt_tokens"), countField(Fields, "completion_tokens")};
}

} // namespace

auto parseEventFields(std::string_view Json) -> absl::StatusOr<EventFields> {
  const auto Event = parseObject(Json);
  if (!Event.ok()) {
    return Event.status();
  }
  if (!Event->has_string_field("id")) {
    return absl::InvalidArgumentError("the event has no request ID");
  }
  return EventFields{Event->at("id").as_string(), hasFinishReason(*Event), usageOf(*Event)};
}

auto parseEngineLoad(std::string_view Json) -> absl::StatusOr<EngineLoad> {
  const auto Report = parseObject(Json);
  if (!Report.ok()) {
    return Report.status();
  }
  if (!Report->has_number_field("running") || !Report->has_number_field("waiting")) {
    return absl::InvalidArgumentError("the load report lacks a field");
  }
  auto Load = EngineLoad();
  Load.m_RunningRequests = countField(*Report, "running");
  Load.m_WaitingRequests = countField(*Report, "waiting");
  Load.m_Age = std::chrono::milliseconds{countField(*Report, "age_ms")};
  Load.m_Leaving = Report->has_boolean_field("leaving") && Report->at("leaving").as_bool();
  return Load;
}

} // namespace geraniumlift::targets
