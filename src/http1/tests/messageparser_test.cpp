#include "http1/messageparser.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace geraniumlift::http1;

namespace {

auto parseError(std::string_view Bytes) -> absl::StatusCode {
  auto Parser = RequestParser(MessageLimits{200, 100});
  return Parser.feed(Bytes).status().code();
}

} // namespace

Test(requestparser, messageIsParsedByteByByte) {
  auto Parser = RequestParser(MessageLimits{});
  const auto Text =
      std::string_view("POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                       "\r\n5\r\nhello\r\n3\r\nabc\r\n0\r\n\r\n");
  for (const auto Byte : Text) {
    const auto Used = Parser.feed(std::string_view(&Byte, 1));
    cr_assert(Used.ok());
    cr_assert_eq(*Used, 1U);
  }
  cr_assert(Parser.isDone());
  cr_assert_eq(Parser.head().m_Target, "/a?b");
  cr_assert_eq(Parser.body(), "helloabc");
}

Test(requestparser, bytesOfTheNextRequestAreNotConsumed) {
  auto Parser = RequestParser(MessageLimits{});
  const auto First = std::string_view("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
  cr_assert_eq(*Parser.feed(First), First.size());
  cr_assert_eq(*Parser.feed("cGET / HTTP/1.1\r\n"), 1U);
  cr_assert(Parser.isDone());
}

// Guards against request smuggling: a request that two parsers frame differently can hide a second
// request.
Test(requestparser, ambiguousFramingIsRejected) {
  const auto Invalid = absl::StatusCode::kInvalidArgument;
  for (const auto *Fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 5\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n", "Content-Length : 3\r\n",
        "Content-Length: +3\r\n"}) {
    cr_expect_eq(parseError(fmt::format("POST / HTTP/1.1\r\n{}\r\nabcde", Fields)), Invalid, "%s",
                 Fields);
  }
  cr_expect_eq(parseError("POST / HTTP/1.1\nContent-Length: 3\n\nabc"), Invalid);
}

Test(requestparser, limitsApplyBeforeTheBodyArrives) {
  cr_expect_eq(parseError("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n"),
               absl::StatusCode::kOutOfRange);
  cr_expect_eq(parseError("POST / HTTP/1.1\r\nA: " + std::string(300, 'x')),
               absl::StatusCode::kResourceExhausted);
}

Test(responseparser, bodyWithoutLengthEndsAtConnectionClose) {
  auto Parser = ResponseParser(MessageLimits{});
  cr_assert(Parser.feed("HTTP/1.1 200 OK\r\n\r\nabc").ok());
  cr_assert(Parser.isHeadDone());
  cr_assert_not(Parser.isDone());
  cr_assert(Parser.finishAtClose().ok());
  cr_assert(Parser.isDone());
  cr_assert_eq(Parser.body(), "abc");
}

Test(responseparser, truncatedBodyIsAnError) {
  auto Parser = ResponseParser(MessageLimits{});
  cr_assert(Parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc").ok());
  cr_assert_not(Parser.finishAtClose().ok());
}

Test(headerfields, hopByHopFieldsAreRemoved) {
  auto Fields = HeaderFields();
  Fields.add("Connection", "close, X-Private");
  Fields.add("X-Private", "1");
  Fields.add("Keep-Alive", "timeout=3");
  Fields.add("Request-Id", "7");
  removeHopByHopFields(Fields);
  cr_assert_eq(Fields.all().size(), 1U);
  cr_assert(Fields.has("request-id"));
}

// Guards against a peer that sends bytes without end where the parser waits for the end of a line:
// they would fill the memory.
Test(responseparser, elementsWithoutEndAreRejected) {
  constexpr auto HeaderLimit = std::uint32_t{16} * 1024;
  constexpr auto BodyLimit = std::uint64_t{1024} * 1024;
  const auto FedUntilRejected = [](const std::string &Start, const std::string &Endless) {
    auto Parser = ResponseParser({HeaderLimit, BodyLimit});
    auto Fed = Start.size();
    auto Result = Parser.feed(Start);
    while (Result.ok() && Fed < BodyLimit) {
      Result = Parser.feed(Endless);
      Fed += Endless.size();
    }
    return Fed;
  };
  constexpr auto Limit = std::size_t{40} * 1024;
  const auto Chunked = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  cr_expect_leq(FedUntilRejected("HTTP/1.1 200 OK\r\n", "a: b\r\n"), Limit, "fields");
  cr_expect_leq(FedUntilRejected("HTTP/1.1 200 OK\r\na: ", "bbbbbbbb"), Limit, "a field");
  cr_expect_leq(FedUntilRejected("HTTP/1.1 200 ", "OK OK OK "), Limit, "the status line");
  cr_expect_leq(FedUntilRejected(Chunked + "5;", "extension"), Limit, "a chunk's size line");
  cr_expect_leq(FedUntilRejected(Chunked + "0\r\n", "a: b\r\n"), Limit, "the trailer");
}

// Guards against a target in trouble whose status line has three digits that are no status: callers
// would get it as an answer.
Test(responseparser, statusesOutsideTheProtocolAreRejected) {
  auto Wrong = std::string();
  for (auto Status = 0; Status < 1000; ++Status) {
    auto Parser = ResponseParser(MessageLimits{});
    const auto Result =
        Parser.feed(fmt::format("HTTP/1.1 {:03} x\r\nContent-Length: 0\r\n\r\n", Status));
    // No request asks for another protocol, which a response with 101 would switch to.
    const auto IsStatus = Status >= 100 && Status < 600 && Status != 101;
    if (Result.ok() != IsStatus) {
      Wrong += fmt::format("{:03} ", Status);
    }
  }
  cr_expect(Wrong.empty(), "%s", Wrong.c_str());
}

// Guards against a field whose name another parser would read differently, so that it is passed on
// or changes where the body ends.
Test(responseparser, fieldNamesThatAreNoTokensAreRejected) {
  const auto IsAccepted = [](const std::string &Line) {
    auto Parser = ResponseParser(MessageLimits{});
    return Parser.feed("HTTP/1.1 200 OK\r\nA: b\r\n" + Line + "Content-Length: 0\r\n\r\n").ok();
  };
  cr_assert(IsAccepted("X-Name: x\r\n"));
  const auto Tokens = std::string_view("!#$%&'*+-.^_`|~");
  for (auto Byte = 0; Byte < 256; ++Byte) {
    const auto Character = static_cast<char>(Byte);
    const auto IsToken =
        Byte < 128 && (std::isalnum(Byte) != 0 || Tokens.find(Character) != std::string_view::npos);
    if (Character == ':') {
      continue;
    }
    for (const auto &Name :
         {std::string(1, Character) + "Name", "X" + std::string(1, Character) + "Name",
          "Name" + std::string(1, Character)}) {
      cr_expect_eq(IsAccepted(Name + ": x\r\n"), IsToken, "byte %d", Byte);
    }
  }
  cr_expect_not(IsAccepted(": x\r\n"), "no name");
  cr_expect_not(IsAccepted("Name\r\n"), "no colon");
}

// Guards against a line that begins with a blank: it continues the field before it for some parsers
// and is a field of its own for others.
Test(responseparser, foldedFieldsAreRejected) {
  for (const auto *Fold : {" ", "\t", "  "}) {
    for (const auto *Value : {"", " b"}) {
      const auto Text = fmt::format(
          "HTTP/1.1 200 OK\r\nA:{}\r\n{}Content-Length: 3\r\nB: c\r\n\r\nabc", Value, Fold);
      auto Whole = ResponseParser(MessageLimits{});
      cr_expect_not(Whole.feed(Text).ok());
      auto Single = ResponseParser(MessageLimits{});
      auto IsRejected = false;
      for (const auto Byte : Text) {
        IsRejected = IsRejected || !Single.feed({&Byte, 1}).ok();
      }
      cr_expect(IsRejected);
    }
  }
}

// Guards against taking a body that begins with a blank for a folded field.
Test(responseparser, bodyMayBeginWithABlank) {
  for (const auto *Head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"}) {
    const auto Text = std::string(Head) + " a\r\n b";
    for (std::size_t Cut = 1; Cut < Text.size(); ++Cut) {
      auto Parser = ResponseParser(MessageLimits{});
      cr_expect(Parser.feed(Text.substr(0, Cut)).ok());
      cr_expect(Parser.feed(Text.substr(Cut)).ok(), "cut at %zu", Cut);
      cr_expect_eq(Parser.body(), " a\r\n b");
    }
  }
}

// Guards against fields after the body that change what the header says, depending on how many
// packets a response arrives in.
Test(responseparser, trailerFieldsAreNotPartOfTheHeader) {
  auto Parser = ResponseParser(MessageLimits{});
  cr_assert(Parser
                .feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                      "Signature: s\r\n\r\n")
                .ok());
  cr_assert(Parser.isDone());
  cr_expect_not(Parser.head().m_Fields.has("Signature"));
}

// Guards against a response whose header was cut off and that counts as complete at the close.
Test(responseparser, headerThatIsCutOffIsNotComplete) {
  const auto Head =
      std::string("HTTP/1.1 200 OK\r\nRequest-Id: 7\r\nContent-Length: 0\r\nServer: s\r\n\r\n");
  for (std::size_t Size = 0; Size < Head.size(); ++Size) {
    auto Parser = ResponseParser(MessageLimits{});
    cr_assert(Parser.feed(Head.substr(0, Size)).ok());
    cr_expect_not(Parser.isHeadDone(), "%zu bytes", Size);
    cr_expect_not(Parser.finishAtClose().ok(), "%zu bytes", Size);
    cr_expect_not(Parser.isDone(), "%zu bytes", Size);
  }
}
