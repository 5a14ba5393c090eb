#ifndef INDIGOLEAD_TESTS_SUPPORT_FUZZ_H_
#define INDIGOLEAD_TESTS_SUPPORT_FUZZ_H_

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace indigolead {

inline constexpr int kFuzzRounds = 3000;
inline constexpr std::size_t kMaxFuzzBytes = 4096;

/// Mutates valid inputs step by step, deterministically for a given seed.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::string Mutate(std::string input) {
    for (std::size_t n = Below(4) + 1; n > 0; --n) {
      Step(&input);
    }
    input.resize(std::min(input.size(), kMaxFuzzBytes));
    return input;
  }

 private:
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }

  void Step(std::string* input) {
    if (input->empty()) {
      input->push_back(static_cast<char>(Below(256)));
      return;
    }
    const std::size_t at = Below(input->size());
    const std::size_t length = Below(16) + 1;
    switch (Below(5)) {
      case 0:
        (*input)[at] = static_cast<char>(Below(256));
        break;
      case 1:
        input->insert(at, 1, static_cast<char>(Below(256)));
        break;
      case 2:
        input->erase(at, length);
        break;
      case 3:
        input->insert(at, input->substr(Below(input->size()), length));
        break;
      default:
        input->resize(at);
        break;
    }
  }

  std::mt19937_64 random_;
};

/// Calls `parse` with every input in `seeds` and with mutations of them. An
/// out-of-bounds read or an escaping exception may end the test program; the
/// sanitizer run also reports out-of-bounds reads that do not crash.
inline void Fuzz(const std::vector<std::string>& seeds,
                 const std::function<void(const std::string&)>& parse) {
  Mutator mutator(20261202);
  for (const std::string& seed : seeds) {
    CHECK_NOTHROW(parse(seed));
    for (int n = 0; n < kFuzzRounds; ++n) {
      const std::string input = mutator.Mutate(seed);
      CAPTURE(input);
      REQUIRE_NOTHROW(parse(input));
    }
  }
}

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_FUZZ_H_
