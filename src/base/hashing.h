#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace geraniumlift::base {

/// 64-bit xxHash (XXH3) of the bytes, for hash tables and placement. Not cryptographically secure.
auto hash64(std::string_view Bytes) -> std::uint64_t;

/// SHA-256 of the bytes as 64 lower-case hexadecimal digits.
auto sha256Hex(std::string_view Bytes) -> std::string;

/// HMAC-SHA256 of the bytes under the key: 32 raw bytes.
auto hmacSha256(std::string_view Key, std::string_view Bytes) -> std::string;

/// Compares two byte strings. The time taken does not depend on where they differ.
auto equalInConstantTime(std::string_view Left, std::string_view Right) -> bool;

/// Random bytes from the operating system as lower-case hexadecimal digits, two per byte.
auto randomHex(std::size_t ByteCount) -> std::string;

} // namespace geraniumlift::base
