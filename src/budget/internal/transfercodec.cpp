#include "budget/transfertypes.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace geraniumlift::budget {

namespace {

/// Longest name of a router or budget that is read. Keys of the users' store have 200 bytes.
constexpr auto MaxName = cereal::size_type{200};

enum class TransferKind : std::uint8_t { Request = 1, Answer = 2 };

template <typename Archive>
auto writeName(Archive &Data, const std::string &Name) -> void {
  Data(cereal::make_size_tag(static_cast<cereal::size_type>(Name.size())));
  Data(cereal::binary_data(Name.data(), Name.size()));
}

/// The size is checked before memory is taken, since the bytes come from the network.
template <typename Archive>
auto readName(Archive &Data, std::string &Name) -> void {
  auto Size = cereal::size_type{0};
  Data(cereal::make_size_tag(Size));
  if (Size > MaxName) {
    throw cereal::Exception("the name is too long");
  }
  Name.resize(Size);
  Data(cereal::binary_data(Name.data(), Size));
}

} // namespace

auto encodeTransfer(const TransferMessage &Message) -> std::string {
  auto Bytes = std::ostringstream();
  auto Data = cereal::PortableBinaryOutputArchive(Bytes);
  if (const auto *Request = std::get_if<TransferRequest>(&Message)) {
    Data(TransferKind::Request);
    writeName(Data, Request->m_From);
    writeName(Data, Request->m_Budget);
    Data(Request->m_Session, Request->m_Number, Request->m_Tokens);
  } else {
    const auto &Answer = std::get<TransferAnswer>(Message);
    Data(TransferKind::Answer);
    writeName(Data, Answer.m_From);
    Data(Answer.m_Session, Answer.m_Number, Answer.m_Tokens);
  }
  return Bytes.str();
}

auto decodeTransfer(std::string_view Bytes) -> absl::StatusOr<TransferMessage> {
  try {
    auto Stream = std::istringstream(std::string(Bytes));
    auto Data = cereal::PortableBinaryInputArchive(Stream);
    auto Kind = TransferKind();
    Data(Kind);
    auto Request = TransferRequest();
    auto Answer = TransferAnswer();
    switch (Kind) {
    case TransferKind::Request:
      readName(Data, Request.m_From);
      readName(Data, Request.m_Budget);
      Data(Request.m_Session, Request.m_Number, Request.m_Tokens);
      if (Request.m_Tokens <= 0) {
        return absl::InvalidArgumentError("the number of tokens is not positive");
      }
      return Request;
    case TransferKind::Answer:
      readName(Data, Answer.m_From);
      Data(Answer.m_Session, Answer.m_Number, Answer.m_Tokens);
      if (Answer.m_Tokens < 0) {
        return absl::InvalidArgumentError("the number of tokens is negative");
      }
      return Answer;
    }
    return absl::InvalidArgumentError("unknown kind of message");
  } catch (const std::exception &Error) {
    return absl::InvalidArgumentError(Error.what());
  }
}

} // namespace geraniumlift::budget
