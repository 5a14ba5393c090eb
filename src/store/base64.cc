#include "store/base64.h"

#include <openssl/evp.h>

namespace indigolead {

std::string ToBase64(std::string_view bytes) {
  // The encoder appends a zero byte.
  std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::optional<std::string> FromBase64(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string out(3 * (text.size() / 4) + 1, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // The decoder's size includes a zero byte for each padding character.
  std::size_t padding = 0;
  if (text.ends_with("==")) {
    padding = 2;
  } else if (text.ends_with("=")) {
    padding = 1;
  }
  out.resize(static_cast<std::size_t>(size) - padding);
  return out;
}

}  // namespace indigolead
