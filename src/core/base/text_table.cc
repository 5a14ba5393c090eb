#include "core/base/text_table.h"

#include <algorithm>
#include <utility>

namespace indigolead {
namespace {

/// Returns the number of characters in the UTF-8 `text`.
std::size_t WidthOf(const std::string& text) {
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xC0) != 0x80; }));
}

}  // namespace

TextTable::TextTable(std::vector<std::string> header) {
  rows_.push_back(std::move(header));
}

void TextTable::AddRow(std::vector<std::string> cells) {
  cells.resize(rows_.front().size());
  rows_.push_back(std::move(cells));
}

std::string TextTable::ToText() const {
  std::vector<std::size_t> widths(rows_.front().size());
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], WidthOf(row[i]));
    }
  }
  std::string text;
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - WidthOf(row[i]) + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

}  // namespace indigolead
