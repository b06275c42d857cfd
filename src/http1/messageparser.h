#pragma once

#include "http1/messagetypes.h"

#include <absl/status/statusor.h>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace geraniumlift::http1 {

/// Upper bounds on what a peer may send in one message, in bytes.
struct MessageLimits {
  std::uint32_t m_HeaderBytes = 16 * 1024;
  std::uint64_t m_BodyBytes = std::uint64_t{4} * 1024 * 1024;
};

/// Reads one request from bytes as they arrive.
class RequestParser {
public:
  explicit RequestParser(const MessageLimits &Limits);
  ~RequestParser();
  RequestParser(RequestParser &&) noexcept;
  auto operator=(RequestParser &&) noexcept -> RequestParser &;

  /// Takes bytes and returns how many were used; bytes after the end of the message are not used.
  /// ResourceExhausted if the header is too large, OutOfRange if the body is too large,
  /// InvalidArgument if the bytes are no request or their framing is ambiguous.
  auto feed(std::string_view Bytes) -> absl::StatusOr<std::size_t>;

  /// Whether any byte of a request has been taken.
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

/// Reads one response from bytes as they arrive. Body bytes are collected until they are taken.
class ResponseParser {
public:
  /// A response to HEAD has no body whatever its header says.
  explicit ResponseParser(const MessageLimits &Limits, bool IsResponseToHead = false);
  ~ResponseParser();
  ResponseParser(ResponseParser &&) noexcept;
  auto operator=(ResponseParser &&) noexcept -> ResponseParser &;

  /// As RequestParser::feed.
  auto feed(std::string_view Bytes) -> absl::StatusOr<std::size_t>;

  /// Tells that the connection was closed in order. InvalidArgument if the message is not complete.
  auto finishAtClose() -> absl::Status;

  [[nodiscard]] auto hasStarted() const -> bool;
  [[nodiscard]] auto isHeadDone() const -> bool;
  [[nodiscard]] auto isDone() const -> bool;
  [[nodiscard]] auto keepsConnection() const -> bool;

  [[nodiscard]] auto head() -> ResponseHead &;

  /// Body bytes received and not yet taken.
  [[nodiscard]] auto body() -> std::string &;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace geraniumlift::http1
