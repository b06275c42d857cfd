#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumlift::http1 {

/// Compares two header names or tokens, ignoring ASCII case.
auto equalsIgnoringCase(std::string_view Left, std::string_view Right) -> bool;

/// One header field. The name keeps the case in which it was received.
struct HeaderField {
  std::string m_Name;
  std::string m_Value;
};

/// The header fields of one message in their original order. Names are compared ignoring ASCII
/// case.
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

/// Removes the hop-by-hop fields: those that RFC 9110 names and those that the Connection field
/// lists. The framing fields are removed too; the sender adds its own.
auto removeHopByHopFields(HeaderFields &Fields) -> void;

/// How the end of a body is determined: there is no body, Content-Length, or chunked encoding.
enum class Framing { None, Length, Chunked };

/// Formats the start line and the fields of a request, including the framing field of its body. The
/// length is used for Framing::Length only.
auto formatRequestHead(const RequestHead &Head, Framing Body, std::size_t Length) -> std::string;

/// Formats the start line and the fields of a response, including the framing field of its body.
/// The length is used for Framing::Length only.
auto formatResponseHead(const ResponseHead &Head, Framing Body, std::size_t Length) -> std::string;

/// Formats one chunk of a chunked body. Returns an empty string for empty data, since an empty
/// chunk would end the body.
auto formatChunk(std::string_view Data) -> std::string;

/// The chunk that ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace geraniumlift::http1
