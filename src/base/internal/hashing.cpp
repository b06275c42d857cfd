#include "base/hashing.h"

#include <absl/strings/escaping.h>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <stdexcept>
#include <xxhash.h>

namespace geraniumlift::base {

auto hash64(std::string_view Bytes) -> std::uint64_t {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

auto sha256Hex(std::string_view Bytes) -> std::string {
  auto Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>{};
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(), Digest.data());
  return absl::BytesToHexString({reinterpret_cast<const char *>(Digest.data()), Digest.size()});
}

auto hmacSha256(std::string_view Key, std::string_view Bytes) -> std::string {
  auto Digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(), Digest.data(), &Size);
  return {reinterpret_cast<const char *>(Digest.data()), Size};
}

auto equalInConstantTime(std::string_view Left, std::string_view Right) -> bool {
  return Left.size() == Right.size() && CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

auto randomHex(std::size_t ByteCount) -> std::string {
  auto Bytes = std::string(ByteCount, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char *>(Bytes.data()), static_cast<int>(ByteCount)) !=
      1) {
    throw std::runtime_error("the operating system gave no random bytes");
  }
  return absl::BytesToHexString(Bytes);
}

} // namespace geraniumlift::base
