#include "core/request/header_fields.h"

#include <algorithm>
#include <array>

namespace indigolead {
namespace {

constexpr std::array<std::string_view, 8> kHopByHop = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",    "transfer-encoding",  "upgrade"};

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

bool ListContains(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::size_t comma = list.find(',');
    if (EqualsIgnoringCase(Trim(list.substr(0, comma)), name)) {
      return true;
    }
    if (comma == std::string_view::npos) {
      return false;
    }
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  // Most names already differ in length. std::tolower is avoided because it
  // consults the locale for every letter.
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

std::string_view FindHeader(const std::vector<HeaderField>& headers,
                            std::string_view name) {
  for (const HeaderField& it : headers) {
    if (EqualsIgnoringCase(it.name, name)) {
      return it.value;
    }
  }
  return {};
}

bool IsHeaderToken(std::string_view text) {
  return !text.empty() && text.size() <= kMaxHeaderTokenBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 0x7F; });
}

bool IsHopByHop(std::string_view name, std::string_view connection) {
  const bool always = std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [name](std::string_view it) { return EqualsIgnoringCase(it, name); });
  return always || ListContains(connection, name);
}

}  // namespace indigolead
