#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::http1 {

/// Compares two header names or tokens without regard to ASCII case.
auto equalsIgnoringCase(std::string_view Left, std::string_view Right) -> bool;

/// One header field as it was received; the name keeps its spelling.
struct HeaderField {
  std::string m_Name;
  std::string m_Value;
};

/// The header fields of one message in their order.
class HeaderFields {
public:
  /// The value of the first field with this name, if any.
  [[nodiscard]] auto find(std::string_view Name) const -> std::optional<std::string_view>;

  [[nodiscard]] auto has(std::string_view Name) const -> bool { return find(Name).has_value(); }

  auto add(std::string_view Name, std::string_view Value) -> void {
    m_Fields.push_back({std::string(Name), std::string(Value)});
  }

  /// Removes all fields with this name.
  auto remove(std::string_view Name) -> void;

  [[nodiscard]] auto all() const -> const std::vector<HeaderField> & { return m_Fields; }

private:
  std::vector<HeaderField> m_Fields;
};

/// Start line and header fields of a request.
struct RequestHead {
  std::string m_Method;

  /// Request target as received: path and query, never decoded.
  std::string m_Target;
  HeaderFields m_Fields;
};

/// Start line and header fields of a response.
struct ResponseHead {
  int m_Status = 0;
  std::string m_Reason;
  HeaderFields m_Fields;
};

/// Removes the fields that concern one connection only: those that RFC 9110 names, and those that
/// the Connection field lists. Framing fields go too; the sender adds its own.
auto removeHopByHopFields(HeaderFields &Fields) -> void;

/// How the length of a body is announced.
enum class Framing { None, Length, Chunked };

/// Start line and fields of a request, with the framing of its body, ready to be sent.
auto formatRequestHead(const RequestHead &Head, Framing Body, std::size_t Length) -> std::string;

/// Start line and fields of a response, with the framing of its body, ready to be sent.
auto formatResponseHead(const ResponseHead &Head, Framing Body, std::size_t Length) -> std::string;

/// One chunk of a chunked body. Empty data would end the body, so it gives an empty text.
auto formatChunk(std::string_view Data) -> std::string;

/// The chunk that ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace geraniumlift::http1
