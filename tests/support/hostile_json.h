#ifndef INDIGOLEAD_TESTS_SUPPORT_HOSTILE_JSON_H_
#define INDIGOLEAD_TESTS_SUPPORT_HOSTILE_JSON_H_

#include <catch2/catch.hpp>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/base/result.h"

namespace indigolead {

/// Text in the hostile documents that no error may quote.
inline constexpr char kSecret[] = "secret";
/// Maximum length of an error's detail, in bytes.
inline constexpr std::size_t kMaxDetailBytes = 300;

/// Returns lists nested to this depth, as JSON.
inline std::string NestedLists(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// Returns objects nested to this depth, as JSON.
inline std::string NestedObjects(std::size_t depth) {
  std::string text;
  for (std::size_t n = 0; n < depth; ++n) {
    text += "{\"a\":";
  }
  return text + "0" + std::string(depth, '}');
}

/// Returns `document` with each value at `pointer` replaced by the raw `text`.
inline std::string WithRaw(nlohmann::json document,
                           const nlohmann::json::json_pointer& pointer,
                           const std::string& text) {
  const std::string mark = "@replaced@";
  document[pointer] = mark;
  std::string out = document.dump();
  return out.replace(out.find('"' + mark + '"'), mark.size() + 2, text);
}

/// Returns texts that a decoder of `document`, an object, must reject: some are
/// not JSON, and others hold what cannot be read in a field that no decoder
/// reads.
inline std::vector<std::string> UnreadableDocuments(
    const nlohmann::json& document) {
  constexpr std::size_t kDeep = 100'000;
  std::vector<std::string> texts = {"",
                                    "secret",
                                    "{\"secret\":",
                                    "7",
                                    "null",
                                    "\"secret\"",
                                    "[]",
                                    std::string(kDeep, '['),
                                    NestedLists(kDeep),
                                    NestedObjects(kDeep)};
  const nlohmann::json::json_pointer unread("/unread");
  for (const std::string& raw :
       {NestedLists(kDeep), NestedObjects(kDeep), std::string("1e400"),
        std::string("-1e400"), std::string(5'000, '9'),
        std::string("\"secret\\ud800\""), std::string("\"secret\xff\"")}) {
    texts.push_back(WithRaw(document, unread, raw));
  }
  return texts;
}

/// Returns `document` with each of its values in turn replaced by values of
/// other types and ranges.
inline std::vector<std::string> ChangedDocuments(
    const nlohmann::json& document) {
  std::vector<std::string> texts;
  const nlohmann::json flat = document.flatten();
  for (const auto& it : flat.items()) {
    const nlohmann::json::json_pointer pointer(it.key());
    for (const std::string& raw :
         {std::string("null"), std::string("true"), std::string("-1"),
          std::string("0"), std::string("1.5"), std::string("-1e300"),
          std::string("1e300"), std::string("-9223372036854775808"),
          std::string("9223372036854775807"),
          std::string("18446744073709551615"), std::string(5'000, '9'),
          std::string("\"\""), std::string("\"secret\""),
          '"' + std::string(10'000, 'x') + '"', std::string("[]"),
          std::string("{}"), std::string("[\"secret\"]"),
          std::string("{\"secret\":\"secret\"}"), NestedLists(100'000)}) {
      texts.push_back(WithRaw(document, pointer, raw));
    }
  }
  return texts;
}

/// Checks that `error` is bounded in length and does not quote the document.
inline void CheckError(const Error& error) {
  CHECK(error.detail.size() <= kMaxDetailBytes);
  CHECK(error.detail.find(kSecret) == std::string::npos);
}

/// Checks that `decode`, which returns a `Result`, decodes `document`, rejects
/// what cannot be read, and gives a value or a bounded error for each hostile
/// value of a field.
template <typename Decode>
void CheckHostileDocuments(const nlohmann::json& document, Decode decode) {
  REQUIRE(IsOk(decode(document.dump())));
  for (const std::string& text : UnreadableDocuments(document)) {
    INFO(text.substr(0, 400));
    const auto decoded = decode(text);
    CHECK_FALSE(IsOk(decoded));
    if (!IsOk(decoded)) {
      CheckError(ErrorOf(decoded));
    }
  }
  for (const std::string& text : ChangedDocuments(document)) {
    INFO(text.substr(0, 400));
    const auto decoded = decode(text);
    if (!IsOk(decoded)) {
      CheckError(ErrorOf(decoded));
    }
  }
}

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_HOSTILE_JSON_H_
