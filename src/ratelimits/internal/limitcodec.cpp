#include "ratelimits/limittypes.h"

#include "base/boundedread.h"
#include "base/hashing.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <fmt/format.h>
#include <sstream>

namespace geraniumlift::ratelimits {

template <typename Archive>
auto serialize(Archive &Data, ReportedLimit &Item) -> void {
  Data(Item.m_Target, Item.m_PerThousandSeconds, Item.m_AgeMs);
}

template <typename Archive>
auto serialize(Archive &Data, ReportedCold &Item) -> void {
  Data(Item.m_PerThousandSeconds, Item.m_ThousandthsOfBurst, Item.m_LeftMs);
}

namespace {

/// Limit on the length of the list in an update. Pools are smaller, so more entries mean that the
/// bytes are not an update.
constexpr auto MaxEntries = std::size_t{4096};

/// First byte of an encoded message, in the order of the alternatives of LimitMessage.
constexpr auto KindBytes = std::string_view("UQRO");

using InputArchive = cereal::PortableBinaryInputArchive;
using OutputArchive = cereal::PortableBinaryOutputArchive;

auto write(OutputArchive &Data, const LimitUpdate &Message) -> void {
  Data(Message.m_Router, Message.m_Limits, Message.m_Brittle);
}

auto write(OutputArchive &Data, const PermitRequest &Message) -> void {
  Data(Message.m_Router, Message.m_Id, Message.m_Limit, Message.m_Cold, Message.m_Brittle);
}

auto write(OutputArchive &Data, const PermitReply &Message) -> void {
  Data(Message.m_Id, Message.m_IsGranted, Message.m_RetryAfterMs, Message.m_Limit,
       Message.m_Brittle);
}

auto write(OutputArchive &Data, const OutcomeReport &Message) -> void {
  Data(Message.m_Target, Message.m_IsRejected);
}

auto read(InputArchive &Data, LimitUpdate &Message, std::size_t Size) -> void {
  base::readText(Data, Message.m_Router, Size);
  base::readEntries(Data, Message.m_Limits, MaxEntries);
  base::readEntries(Data, Message.m_Brittle, MaxEntries);
}

auto read(InputArchive &Data, PermitRequest &Message, std::size_t Size) -> void {
  base::readText(Data, Message.m_Router, Size);
  Data(Message.m_Id, Message.m_Limit, Message.m_Cold, Message.m_Brittle);
}

auto read(InputArchive &Data, PermitReply &Message, std::size_t /*Size*/) -> void {
  Data(Message.m_Id, Message.m_IsGranted, Message.m_RetryAfterMs, Message.m_Limit,
       Message.m_Brittle);
}

auto read(InputArchive &Data, OutcomeReport &Message, std::size_t /*Size*/) -> void {
  Data(Message.m_Target, Message.m_IsRejected);
}

template <typename Message>
auto readMessage(InputArchive &Data, std::size_t Size) -> LimitMessage {
  auto Result = Message();
  read(Data, Result, Size);
  return Result;
}

} // namespace

auto targetKey(std::string_view TargetId, std::int64_t Incarnation) -> TargetKey {
  return base::hash64(fmt::format("{}/{}", TargetId, Incarnation));
}

auto coldAllowance(double PerSecond, double Overage, double Slack, base::SteadyTime Until)
    -> ColdAllowance {
  constexpr auto PermitSeconds = 1.6;
  const auto Most = PerSecond * Overage + Slack;
  const auto Rate = std::clamp(PerSecond, 0.0, std::max(0.0, (Most - 1.0) / PermitSeconds));
  return {Rate, std::clamp(Most - PermitSeconds * Rate, 1.0, std::max(1.0, PerSecond)), Until};
}

auto encodeMessage(const LimitMessage &Message) -> std::string {
  auto Bytes = std::ostringstream();
  Bytes.put(KindBytes[Message.index()]);
  auto Data = OutputArchive(Bytes);
  std::visit([&Data](const auto &Item) { write(Data, Item); }, Message);
  return Bytes.str();
}

auto decodeMessage(std::string_view Bytes) -> absl::StatusOr<LimitMessage> {
  const auto Kind = Bytes.empty() ? std::string_view::npos : KindBytes.find(Bytes.front());
  if (Kind == std::string_view::npos) {
    return absl::InvalidArgumentError("unknown kind of message");
  }
  try {
    auto Stream = std::istringstream(std::string(Bytes.substr(1)));
    auto Data = InputArchive(Stream);
    constexpr auto Readers = std::array{&readMessage<LimitUpdate>, &readMessage<PermitRequest>,
                                        &readMessage<PermitReply>, &readMessage<OutcomeReport>};
    return Readers[Kind](Data, Bytes.size());
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace geraniumlift::ratelimits
