#include "expect.h"
#include "http1/messageparser.h"

#include <cstdint>
#include <string_view>

using namespace geraniumlift::http1;
using geraniumlift::fuzz::expect;

namespace {

/// What a parser made of the bytes.
struct Reading {
  bool m_IsValid = true;
  bool m_IsDone = false;
  std::size_t m_Used = 0;
  std::string m_Body;
};

template <typename Parser>
auto read(std::string_view Bytes, std::size_t PieceSize) -> Reading {
  auto Message = Parser(MessageLimits{1024, 2048});
  auto Result = Reading();
  while (Result.m_Used < Bytes.size() && !Message.isDone()) {
    const auto Piece = Bytes.substr(Result.m_Used, PieceSize);
    const auto Used = Message.feed(Piece);
    if (!Used.ok()) {
      Result.m_IsValid = false;
      return Result;
    }
    expect(*Used <= Piece.size(), "no more bytes are used than were given");
    Result.m_Used += *Used;
    if (*Used < Piece.size()) {
      expect(Message.isDone(), "bytes are left over only after the end");
    }
  }
  Result.m_IsDone = Message.isDone();
  Result.m_Body = Message.body();
  return Result;
}

/// Bytes that arrive one by one mean the same as bytes that arrive together.
template <typename Parser>
auto check(std::string_view Bytes) -> void {
  const auto Whole = read<Parser>(Bytes, Bytes.size());
  const auto Single = read<Parser>(Bytes, 1);
  if (Whole.m_IsValid && Single.m_IsValid) {
    expect(Whole.m_IsDone == Single.m_IsDone, "the end does not depend on the pieces");
    expect(Whole.m_Body == Single.m_Body, "the body does not depend on the pieces");
    if (Whole.m_IsDone) {
      expect(Whole.m_Used == Single.m_Used, "the length does not depend on the pieces");
    }
  }
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) -> int {
  const auto Bytes = std::string_view(reinterpret_cast<const char *>(Data), Size);
  if (!Bytes.empty()) {
    check<RequestParser>(Bytes);
    check<ResponseParser>(Bytes);
  }
  return 0;
}
