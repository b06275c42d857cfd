#include "http1/messageparser.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace geraniumlift::http1 {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

/// Size from which room for a request body is reserved in advance, and how much at least.
constexpr auto LargeBodyBytes = std::size_t{8} * 1024;
constexpr auto FirstReserveBytes = std::size_t{256} * 1024;

/// Range of the status codes of RFC 9110.
constexpr auto MinStatus = 100;
constexpr auto MaxStatus = 599;

/// What follows a response with this status is another protocol, which no request asks for.
constexpr auto SwitchingProtocols = 101;

auto asView(string_view Text) -> std::string_view { return {Text.data(), Text.size()}; }

/// Beast parser that stores the header fields with their names as received and the raw body.
template <bool IsRequest>
class CollectingParser final : public http::basic_parser<IsRequest> {
public:
  std::string m_Method;
  std::string m_Target;
  int m_Status = 0;
  std::string m_Reason;
  HeaderFields m_Fields;
  std::string m_Body;
  bool m_IsAmbiguous = false;

private:
  auto on_request_impl(http::verb, string_view Method, string_view Target, int, error_code &Error)
      -> void override {
    Error = {};
    m_Method = asView(Method);
    m_Target = asView(Target);
  }

  auto on_response_impl(int Status, string_view Reason, int, error_code &Error) -> void override {
    Error = {};
    if (Status < MinStatus || Status > MaxStatus || Status == SwitchingProtocols) {
      Error = http::error::bad_status;
      return;
    }
    m_Status = Status;
    m_Reason = asView(Reason);
  }

  auto on_field_impl(http::field, string_view Name, string_view Value, error_code &Error)
      -> void override {
    Error = {};
    // Fields of a trailer come after the body, which the header describes.
    if (!this->is_header_done()) {
      m_Fields.add(asView(Name), asView(Value));
    }
  }

  /// Detects framings that two parsers could interpret differently: a transfer coding other than
  /// "chunked", or a Content-Length next to a Transfer-Encoding.
  auto on_header_impl(error_code &Error) -> void override {
    Error = {};
    const auto Coding = m_Fields.find("Transfer-Encoding");
    if (!Coding) {
      return;
    }
    m_IsAmbiguous = !equalsIgnoringCase(*Coding, "chunked") || m_Fields.has("Content-Length");
  }

  auto on_body_init_impl(const boost::optional<std::uint64_t> &Length, error_code &Error)
      -> void override {
    Error = {};
    m_Announced = Length.value_or(0);
  }

  auto on_body_impl(string_view Bytes, error_code &Error) -> std::size_t override {
    Error = {};
    if (IsRequest) {
      reserveFor(m_Body.size() + Bytes.size());
    }
    m_Body.append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }

  auto on_chunk_header_impl(std::uint64_t, string_view, error_code &Error) -> void override {
    Error = {};
  }

  auto on_chunk_body_impl(std::uint64_t, string_view Bytes, error_code &Error)
      -> std::size_t override {
    return on_body_impl(Bytes, Error);
  }

  /// Takes room for a large body in few steps: each step copies the body and leaves a gap in the
  /// heap. Pages without bytes cost nothing.
  auto reserveFor(std::size_t Size) -> void {
    if (Size > LargeBodyBytes && Size > m_Body.capacity()) {
      m_Body.reserve(std::max(
          {static_cast<std::size_t>(m_Announced), FirstReserveBytes, 2 * m_Body.capacity(), Size}));
    }
  }

  std::uint64_t m_Announced = 0;

  auto on_finish_impl(error_code &Error) -> void override { Error = {}; }
};

/// Whether a line of the header begins with a blank. Beast joins it to the field before it, while
/// other parsers take it for a field. The text is the part of the header that is not parsed yet,
/// perhaps with bytes of the body behind it; complete fields are parsed only with the byte after
/// them.
auto hasFoldedField(std::string_view Text) -> bool {
  if (Text.starts_with("\r\n")) {
    return false;
  }
  const auto Header = Text.substr(0, Text.find("\r\n\r\n"));
  return Header.find("\r\n ") != std::string_view::npos ||
         Header.find("\r\n\t") != std::string_view::npos;
}

auto toStatus(const error_code &Error) -> absl::Status {
  if (Error == http::error::header_limit) {
    return absl::ResourceExhaustedError("the header is too large");
  }
  if (Error == http::error::body_limit) {
    return absl::OutOfRangeError("the body is too large");
  }
  return absl::InvalidArgumentError(Error.message());
}

/// Feeds a CollectingParser, which stops at the end of the header section or when it needs more
/// bytes. Bytes that it has not consumed are kept and prepended to the next ones.
template <bool IsRequest>
struct ParserState {
  CollectingParser<IsRequest> m_Parser;
  std::size_t m_MaxUnconsumed;
  std::string m_Unconsumed;
  bool m_Started = false;

  explicit ParserState(const MessageLimits &Limits) : m_MaxUnconsumed(Limits.m_HeaderBytes) {
    m_Parser.eager(true);
    m_Parser.header_limit(Limits.m_HeaderBytes);
    m_Parser.body_limit(Limits.m_BodyBytes);
  }

  auto feed(std::string_view Bytes) -> absl::StatusOr<std::size_t> {
    if (m_Parser.is_done() || Bytes.empty()) {
      return std::size_t{0};
    }
    m_Started = true;
    const auto CarriedOver = m_Unconsumed.size();
    auto Text = Bytes;
    if (CarriedOver > 0) {
      m_Unconsumed.append(Bytes);
      Text = m_Unconsumed;
    }
    if (!IsRequest && !m_Parser.is_header_done() && hasFoldedField(Text)) {
      return absl::InvalidArgumentError("a header field is folded");
    }
    auto Used = std::size_t{0};
    while (!m_Parser.is_done() && Used < Text.size()) {
      auto Error = error_code();
      const auto Parsed =
          m_Parser.put(boost::asio::buffer(Text.data() + Used, Text.size() - Used), Error);
      Used += Parsed;
      if (m_Parser.m_IsAmbiguous) {
        return absl::InvalidArgumentError("the framing of the body is ambiguous");
      }
      if (Error == http::error::need_more) {
        break;
      }
      if (Error) {
        return toStatus(Error);
      }
      if (Parsed == 0) {
        break;
      }
    }
    if (!m_Parser.is_done()) {
      if (CarriedOver > 0) {
        m_Unconsumed.erase(0, Used);
      } else {
        m_Unconsumed.assign(Text.substr(Used));
      }
      // Outside of the header section, which Beast limits, only a chunk's size line or the trailer
      // can be incomplete.
      if (m_Unconsumed.size() > m_MaxUnconsumed) {
        return absl::ResourceExhaustedError("a chunk's size line or the trailer is too large");
      }
      return Bytes.size();
    }
    // All bytes carried over belong to this message, so only new ones can be left over.
    m_Unconsumed.clear();
    return Used - CarriedOver;
  }
};

} // namespace

struct RequestParser::State : ParserState<true> {
  using ParserState::ParserState;
  RequestHead m_Head;
  bool m_IsHeadTaken = false;
};

RequestParser::RequestParser(const MessageLimits &Limits)
    : m_State(std::make_unique<State>(Limits)) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser &&) noexcept = default;
auto RequestParser::operator=(RequestParser &&) noexcept -> RequestParser & = default;

auto RequestParser::feed(std::string_view Bytes) -> absl::StatusOr<std::size_t> {
  return m_State->feed(Bytes);
}
auto RequestParser::hasStarted() const -> bool { return m_State->m_Started; }
auto RequestParser::isHeadDone() const -> bool { return m_State->m_Parser.is_header_done(); }
auto RequestParser::isDone() const -> bool { return m_State->m_Parser.is_done(); }
auto RequestParser::keepsConnection() const -> bool { return m_State->m_Parser.keep_alive(); }
auto RequestParser::body() -> std::string & { return m_State->m_Parser.m_Body; }

auto RequestParser::head() -> RequestHead & {
  if (!m_State->m_IsHeadTaken) {
    m_State->m_IsHeadTaken = true;
    auto &Parser = m_State->m_Parser;
    m_State->m_Head = {std::move(Parser.m_Method), std::move(Parser.m_Target),
                       std::move(Parser.m_Fields)};
  }
  return m_State->m_Head;
}

struct ResponseParser::State : ParserState<false> {
  using ParserState::ParserState;
  ResponseHead m_Head;
  bool m_IsHeadTaken = false;
};

ResponseParser::ResponseParser(const MessageLimits &Limits, bool IsResponseToHead)
    : m_State(std::make_unique<State>(Limits)) {
  m_State->m_Parser.skip(IsResponseToHead);
}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser &&) noexcept = default;
auto ResponseParser::operator=(ResponseParser &&) noexcept -> ResponseParser & = default;

auto ResponseParser::feed(std::string_view Bytes) -> absl::StatusOr<std::size_t> {
  return m_State->feed(Bytes);
}

auto ResponseParser::endsAtClose() const -> bool {
  const auto &Parser = m_State->m_Parser;
  return Parser.is_header_done() && !Parser.is_done() && Parser.need_eof();
}

auto ResponseParser::finishAtClose() -> absl::Status {
  auto Error = error_code();
  if (m_State->m_Started) {
    m_State->m_Parser.put_eof(Error);
  } else {
    Error = http::error::end_of_stream;
  }
  return Error ? toStatus(Error) : absl::OkStatus();
}

auto ResponseParser::hasStarted() const -> bool { return m_State->m_Started; }
auto ResponseParser::isHeadDone() const -> bool { return m_State->m_Parser.is_header_done(); }
auto ResponseParser::isDone() const -> bool { return m_State->m_Parser.is_done(); }
auto ResponseParser::keepsConnection() const -> bool { return m_State->m_Parser.keep_alive(); }
auto ResponseParser::body() -> std::string & { return m_State->m_Parser.m_Body; }

auto ResponseParser::head() -> ResponseHead & {
  if (!m_State->m_IsHeadTaken) {
    m_State->m_IsHeadTaken = true;
    auto &Parser = m_State->m_Parser;
    m_State->m_Head = {Parser.m_Status, std::move(Parser.m_Reason), std::move(Parser.m_Fields)};
  }
  return m_State->m_Head;
}

} // namespace geraniumlift::http1
