#include "budget/transfertypes.h"

#include "base/boundedread.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace geraniumlift::budget {

namespace {

/// Longest name of a router or budget that is accepted. Keys of the users' store have at most 200
/// bytes.
constexpr auto MaxNameBytes = std::size_t{200};

enum class MessageKind : std::uint8_t { Request = 1, Answer = 2, Return = 3 };

} // namespace

auto encodeTransfer(const TransferMessage &Message) -> std::string {
  auto Bytes = std::ostringstream();
  auto Data = cereal::PortableBinaryOutputArchive(Bytes);
  if (const auto *Request = std::get_if<TransferRequest>(&Message)) {
    Data(MessageKind::Request);
    Data(Request->m_From, Request->m_Budget, Request->m_Session, Request->m_Number,
         Request->m_Tokens, Request->m_IsAhead, Request->m_IsHome, Request->m_Held,
         Request->m_TokensPerSecond, Request->m_RequestTokens);
  } else if (const auto *Answer = std::get_if<TransferAnswer>(&Message)) {
    Data(MessageKind::Answer);
    Data(Answer->m_From, Answer->m_Session, Answer->m_Number, Answer->m_Tokens, Answer->m_IsUsedUp,
         Answer->m_Unsettled, Answer->m_Allowed);
  } else {
    const auto &Return = std::get<TransferReturn>(Message);
    Data(MessageKind::Return);
    Data(Return.m_From, Return.m_Budget, Return.m_Session, Return.m_Number, Return.m_Tokens);
  }
  return Bytes.str();
}

auto decodeTransfer(std::string_view Bytes) -> absl::StatusOr<TransferMessage> {
  try {
    auto Stream = std::istringstream(std::string(Bytes));
    auto Data = cereal::PortableBinaryInputArchive(Stream);
    auto Kind = MessageKind();
    Data(Kind);
    auto Request = TransferRequest();
    auto Answer = TransferAnswer();
    auto Return = TransferReturn();
    switch (Kind) {
    case MessageKind::Request:
      base::readText(Data, Request.m_From, MaxNameBytes);
      base::readText(Data, Request.m_Budget, MaxNameBytes);
      Data(Request.m_Session, Request.m_Number, Request.m_Tokens, Request.m_IsAhead,
           Request.m_IsHome, Request.m_Held, Request.m_TokensPerSecond, Request.m_RequestTokens);
      if (Request.m_Tokens < 0 || (Request.m_Tokens == 0 && !Request.m_IsAhead) ||
          Request.m_Held < 0 || Request.m_TokensPerSecond < 0 || Request.m_RequestTokens < 0) {
        return absl::InvalidArgumentError("the number of tokens is not positive");
      }
      return Request;
    case MessageKind::Answer:
      base::readText(Data, Answer.m_From, MaxNameBytes);
      Data(Answer.m_Session, Answer.m_Number, Answer.m_Tokens, Answer.m_IsUsedUp,
           Answer.m_Unsettled, Answer.m_Allowed);
      if (Answer.m_Tokens < 0 || Answer.m_Allowed.value_or(0) < 0) {
        return absl::InvalidArgumentError("the number of tokens is negative");
      }
      return Answer;
    case MessageKind::Return:
      base::readText(Data, Return.m_From, MaxNameBytes);
      base::readText(Data, Return.m_Budget, MaxNameBytes);
      Data(Return.m_Session, Return.m_Number, Return.m_Tokens);
      if (Return.m_Tokens <= 0) {
        return absl::InvalidArgumentError("the number of tokens is not positive");
      }
      return Return;
    }
    return absl::InvalidArgumentError("unknown kind of message");
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace geraniumlift::budget
