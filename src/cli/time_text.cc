#include "cli/time_text.h"

#include <array>
#include <ctime>

namespace indigolead::cli {

std::string WallTimeText(WallMicros at) {
  constexpr WallMicros kMicrosPerSecond = 1'000'000;
  const auto seconds = static_cast<std::time_t>(at / kMicrosPerSecond);
  std::tm parts{};
  std::array<char, 32> buf{};
  if (gmtime_r(&seconds, &parts) == nullptr ||
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts) ==
          0) {
    return std::to_string(at);
  }
  return buf.data();
}

}  // namespace indigolead::cli
