#pragma once

#include "http1/messagetypes.h"

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace geraniumlift::http1 {

/// Maximum sizes of one message in bytes.
struct MessageLimits {
  std::uint32_t m_HeaderBytes = 16 * 1024;
  std::uint64_t m_BodyBytes = std::uint64_t{4} * 1024 * 1024;
};

/// Incremental parser of one HTTP/1.1 request.
class RequestParser {
public:
  explicit RequestParser(const MessageLimits &Limits);
  ~RequestParser();
  RequestParser(RequestParser &&) noexcept;
  auto operator=(RequestParser &&) noexcept -> RequestParser &;

  /// Parses the bytes and returns how many were consumed; bytes after the end of the message are
  /// not. Returns ResourceExhausted if the header is too large, OutOfRange if the body is too
  /// large, InvalidArgument if the bytes are not a valid request or the framing of its body is
  /// ambiguous.
  auto feed(std::string_view Bytes) -> absl::StatusOr<std::size_t>;

  /// Whether any byte has been parsed.
  [[nodiscard]] auto hasStarted() const -> bool;
  [[nodiscard]] auto isHeadDone() const -> bool;
  [[nodiscard]] auto isDone() const -> bool;

  /// Whether the sender keeps the connection open after this message.
  [[nodiscard]] auto keepsConnection() const -> bool;

  [[nodiscard]] auto head() -> RequestHead &;
  [[nodiscard]] auto body() -> std::string &;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

/// Incremental parser of one HTTP/1.1 response. Body bytes accumulate until the caller takes them.
class ResponseParser {
public:
  /// A response to HEAD has no body whatever its header says.
  explicit ResponseParser(const MessageLimits &Limits, bool IsResponseToHead = false);
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  auto operator=(ResponseParser &&) noexcept -> ResponseParser &;

  /// Like RequestParser::feed; also returns InvalidArgument for a folded header field.
  auto feed(std::string_view Bytes) -> absl::StatusOr<std::size_t>;

  /// Whether the header has arrived and only the end of the connection ends the body.
  [[nodiscard]] auto endsAtClose() const -> bool;

  /// Ends the message because the peer has closed the connection in order. Returns InvalidArgument
  /// if the message is incomplete.
  auto finishAtClose() -> absl::Status;

  [[nodiscard]] auto hasStarted() const -> bool;
  [[nodiscard]] auto isHeadDone() const -> bool;
  [[nodiscard]] auto isDone() const -> bool;
  [[nodiscard]] auto keepsConnection() const -> bool;

  [[nodiscard]] auto head() -> ResponseHead &;

  /// Body bytes received so far; the caller may move them out.
  [[nodiscard]] auto body() -> std::string &;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace geraniumlift::http1
