#ifndef INDIGOLEAD_CORE_BASE_TEXT_TABLE_H_
#define INDIGOLEAD_CORE_BASE_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace indigolead {

/// Formats rows of text in aligned columns for a terminal.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  /// Appends a row. Missing cells are empty; surplus cells are dropped.
  void AddRow(std::vector<std::string> cells);

  /// Returns the header and the rows, one line each, two spaces between
  /// columns and none at the ends of lines.
  std::string ToText() const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_BASE_TEXT_TABLE_H_
