// Tests of the reader of the store's replies with random and mutated input.
//
// INDIGOLEAD_FUZZ_ROUNDS and INDIGOLEAD_FUZZ_SEED set the number of rounds and
// the first seed of a longer run.

#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "core/base/bounded_json.h"
#include "platform/reply_reader.h"
#include "tests/support/fuzz.h"

namespace indigolead::platform {
namespace {

constexpr std::uint64_t kRounds = 20000;
constexpr std::uint64_t kSeed = 75;
constexpr int kObjects = 4;

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text ? std::stoull(text) : otherwise;
}

/// Makes replies of random tokens, sound or not.
class Tokens {
 public:
  explicit Tokens(std::uint64_t seed) : random_(seed) {}

  std::string Text(std::size_t most) {
    static const std::vector<std::string> tokens = {"{",
                                                    "}",
                                                    "[",
                                                    "]",
                                                    ",",
                                                    ":",
                                                    "\"",
                                                    "\\",
                                                    "\"at\"",
                                                    "1",
                                                    "\"spec\"",
                                                    "null",
                                                    "true",
                                                    "false",
                                                    "1e400",
                                                    "-0",
                                                    "\"name\"",
                                                    "\"a\"",
                                                    "\xff",
                                                    "\"\\ud8\"",
                                                    " ",
                                                    "\n",
                                                    "\"status\"",
                                                    "\"items\"",
                                                    "\"events\"",
                                                    "\"object\"",
                                                    "\"deleted\"",
                                                    "\"metadata\"",
                                                    "\"revision\"",
                                                    "\"indigolead-bytes\"",
                                                    "\"\\u0061t\"",
                                                    std::string(1, '\0')};
    std::string text;
    for (std::size_t n = Below(most); n > 0; --n) {
      text += tokens.at(Below(tokens.size()));
    }
    return text;
  }

 private:
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }

  std::mt19937_64 random_;
};

std::string ObjectOf(int number, const std::string& spec) {
  return R"({"metadata":{"name":"o)" + std::to_string(number) +
         R"(","revision":)" + std::to_string(number + 1) + R"(},"spec":)" +
         spec + R"(,"status":{"limit":2}})";
}

void CheckObject(const ReplyObject& it) {
  CHECK_FALSE(it.name.empty());
  CHECK((it.problem.empty() || it.value == kUnreadableValue));
  CHECK((!it.problem.empty() || it.revision != 0));
}

void ReadAsAnything(const std::string& text) {
  if (const auto page = ReadPage(text)) {
    for (const ReplyObject& it : page->objects) {
      CheckObject(it);
    }
  }
  if (const auto changes = ReadChanges(text)) {
    for (const ReplyChange& it : changes->changes) {
      CHECK(it.version <=
            changes->at + changes->changes.size() + changes->nameless);
      if (!it.deleted) {
        CheckObject(it.object);
      }
    }
  }
  if (const auto object = ReadSingle(text)) {
    CheckObject(*object);
  }
  ReadRevision(text);
}

/// Returns what a parser of whole documents makes of a sound object's spec and
/// status.
nlohmann::json Expected(const std::string& spec) {
  auto value = nlohmann::json::parse(spec);
  if (value.is_object()) {
    value["status"] = {{"limit", 2}};
  }
  return value;
}

/// Reads a page in which one object has `spec`; the others must hold.
void CheckNeighbours(const std::string& spec) {
  std::string items;
  for (int n = 0; n < kObjects; ++n) {
    items += (n == 0 ? "" : ",") + ObjectOf(n, n == 1 ? spec : R"({"a":1})");
  }
  const auto page = ReadPage(R"({"items":[)" + items + R"(],"at":9})");
  REQUIRE(page);
  REQUIRE(page->objects.size() == kObjects);
  for (int n = 0; n < kObjects; ++n) {
    const ReplyObject& it = page->objects[n];
    CHECK(it.name == "o" + std::to_string(n));
    CHECK(it.revision == static_cast<std::uint64_t>(n) + 1);
    CHECK((n == 1 || it.value == R"({"a":1,"status":{"limit":2}})"));
  }
}

/// Returns true if brackets and quotes of the text are paired, so that it
/// cannot end or swallow what is around it.
bool IsClosed(const std::string& text) {
  const auto single =
      ReadRevision(R"({"x":)" + text + R"(,"metadata":{"revision":7}})");
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      i += c == '\\' ? 1 : 0;
      in_string = c != '"';
    } else if (c == '"') {
      in_string = true;
    } else if (c == '[' || c == '{') {
      ++depth;
    } else if (c == ']' || c == '}') {
      if (depth-- == 0) {
        return false;
      }
    }
  }
  return single && depth == 0 && !in_string;
}

// Guards against input that ends the process or is read out of bounds.
TEST_CASE("Replies of random tokens and mutated replies do no harm") {
  const std::uint64_t rounds =
      FromEnvironment("INDIGOLEAD_FUZZ_ROUNDS", kRounds);
  const std::uint64_t seed = FromEnvironment("INDIGOLEAD_FUZZ_SEED", kSeed);
  INFO("INDIGOLEAD_FUZZ_SEED=" << seed);
  Tokens tokens(seed);
  Mutator mutator(seed);
  const std::string list = R"({"items":[)" + ObjectOf(0, R"({"a":[1,"b"]})") +
                           "," + ObjectOf(1, R"("text \u00e9")") +
                           R"(],"has-more":true,"at":9})";
  const std::string events = R"({"events":[{"deleted":false,"object":)" +
                             ObjectOf(0, R"({"indigolead-bytes":"AP8="})") +
                             R"(},{"deleted":true,"object":)" +
                             ObjectOf(1, "null") + R"(}],"at":9})";
  for (std::uint64_t n = 0; n < rounds; ++n) {
    const std::string input = n % 3 == 0   ? tokens.Text(60)
                              : n % 3 == 1 ? mutator.Mutate(list)
                                           : mutator.Mutate(events);
    CAPTURE(n, input);
    REQUIRE_NOTHROW(ReadAsAnything(input));
  }
}

// Guards against an object that changes what is read of its neighbours.
TEST_CASE("A random spec changes nothing about the objects beside it") {
  const std::uint64_t rounds =
      FromEnvironment("INDIGOLEAD_FUZZ_ROUNDS", kRounds);
  const std::uint64_t seed = FromEnvironment("INDIGOLEAD_FUZZ_SEED", kSeed);
  INFO("INDIGOLEAD_FUZZ_SEED=" << seed);
  Tokens tokens(seed);
  Mutator mutator(seed);
  std::uint64_t tried = 0;
  for (std::uint64_t n = 0; n < rounds; ++n) {
    const std::string spec =
        n % 2 == 0 ? "[" + tokens.Text(20) + "]"
                   : mutator.Mutate(R"({"a":[1,{"b":"c\n"}],"d":-2.5e3})");
    if (spec.empty() || !IsClosed(spec)) {
      continue;  // The store sends none that it could not itself read.
    }
    ++tried;
    CAPTURE(n, spec);
    CheckNeighbours(spec);
  }
  CHECK(tried > rounds / 10);
}

/// Returns true if the text is one sound object. The library takes a zero byte
/// for the end of the text and ignores what follows.
bool IsSoundObject(const std::string& text) {
  return text.starts_with('{') && text.find('\0') == std::string::npos &&
         !IsNestedTooDeep(text) && nlohmann::json::accept(text);
}

// Guards against a value that differs from what the decoders would have seen in
// the document as a whole.
TEST_CASE("A sound spec is read as a parser of whole documents reads it") {
  const std::uint64_t rounds =
      FromEnvironment("INDIGOLEAD_FUZZ_ROUNDS", kRounds);
  const std::uint64_t seed = FromEnvironment("INDIGOLEAD_FUZZ_SEED", kSeed);
  INFO("INDIGOLEAD_FUZZ_SEED=" << seed);
  Mutator mutator(seed);
  for (std::uint64_t n = 0; n < rounds; ++n) {
    const std::string spec =
        mutator.Mutate(R"({"a":[1,{"b":"c\n"}],"status":0, "d":-2.5e3})");
    const auto object = ReadSingle(ObjectOf(1, spec));
    CAPTURE(n, spec);
    if (IsSoundObject(spec)) {
      REQUIRE(object);
      REQUIRE(object->problem.empty());
      REQUIRE(nlohmann::json::parse(object->value) == Expected(spec));
    } else if (object && object->problem.empty()) {
      // The mutated text may be members beside the spec, and so be sound.
      REQUIRE(nlohmann::json::accept(ObjectOf(1, spec)));
    }
  }
}

// Guards against a hostile page that costs many times its size.
TEST_CASE("A page of many small or open objects is read in bounds") {
  constexpr std::size_t kBytes = 1 << 20;
  std::string items;
  SECTION("without names") {
    while (items.size() < kBytes) {
      items += "{},";
    }
  }
  SECTION("with nested brackets") {
    items = std::string(kBytes / 2, '[') + std::string(kBytes / 2, ']') + ",";
  }
  SECTION("with escapes") {
    items = "\"";
    while (items.size() < kBytes) {
      items += "\\\"";
    }
    items += "\",";
  }
  const auto page =
      ReadPage(R"({"items":[)" + items + ObjectOf(1, "{}") + R"(],"at":9})");
  REQUIRE(page);
  CHECK(page->objects.size() == 1);
  CHECK(page->objects.capacity() == 1);
}

}  // namespace
}  // namespace indigolead::platform
