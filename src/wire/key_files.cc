#include "wire/key_files.h"

#include <zmq.h>

#include <array>
#include <cstdint>
#include <fstream>

namespace indigolead::internal {
namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kKeyText = 40;
constexpr std::size_t kMaxTrusted = 64;

Error MakeError(const std::string& file, const std::string& detail) {
  return {ErrorCode::kInvalidInput, "links.keys", file, detail};
}

bool IsKey(const std::string& text) {
  std::array<std::uint8_t, kKeyBytes> key{};
  return text.size() == kKeyText &&
         zmq_z85_decode(key.data(), text.c_str()) != nullptr;
}

Result<std::vector<std::string>> ReadKeys(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    return MakeError(file, "cannot be read");
  }
  std::vector<std::string> keys;
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
      line.pop_back();
    }
    if (line.empty() || line.front() == '#') {
      continue;
    }
    if (!IsKey(line)) {
      return MakeError(file, "line " + std::to_string(number) +
                                 " is not a key of 40 Z85 characters");
    }
    keys.push_back(line);
  }
  if (keys.empty() || keys.size() > kMaxTrusted) {
    return MakeError(
        file, "expected 1 to 64 keys, found " + std::to_string(keys.size()));
  }
  return keys;
}

}  // namespace

Result<CurveKeys> LoadCurveKeys(const std::string& public_key_file,
                                const std::string& secret_key_file,
                                const std::string& trusted_keys_file) {
  auto public_keys = ReadKeys(public_key_file);
  auto secret_keys = ReadKeys(secret_key_file);
  auto trusted = ReadKeys(trusted_keys_file);
  for (const auto* keys : {&public_keys, &secret_keys, &trusted}) {
    if (!IsOk(*keys)) {
      return ErrorOf(*keys);
    }
  }
  const std::string& secret = ValueOf(secret_keys).front();
  std::array<char, kKeyText + 1> derived{};
  if (zmq_curve_public(derived.data(), secret.c_str()) != 0 ||
      ValueOf(public_keys).front() != derived.data()) {
    return MakeError(public_key_file,
                     "does not match the secret key in " + secret_key_file);
  }
  return CurveKeys{ValueOf(public_keys).front(), secret, ValueOf(trusted)};
}

}  // namespace indigolead::internal
