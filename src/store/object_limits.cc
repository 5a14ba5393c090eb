#include "store/object_limits.h"

#include <algorithm>
#include <cctype>

namespace indigolead {
namespace {

constexpr std::size_t kMaxKeyBytes = 512;

bool IsKeyCharacter(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
         c == '_' || c == '.' || c == '/';
}

}  // namespace

bool IsObjectKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         std::all_of(key.begin(), key.end(), IsKeyCharacter);
}

}  // namespace indigolead
