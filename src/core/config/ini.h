#ifndef INDIGOLEAD_CORE_CONFIG_INI_H_
#define INDIGOLEAD_CORE_CONFIG_INI_H_

// Parses INI text and keeps the line number of every section and key for error
// messages. The available libraries discard line numbers after parsing;
// docs/STYLE.md names them.
//
// A file consists of sections ("[title]" or "[kind name]") with lines of the
// form "key = value". Lines that start with ';' or '#' are comments; comments
// after a value are not supported.

#include <string>
#include <string_view>
#include <vector>

#include "core/config/config_problem.h"

namespace indigolead {

/// One "key = value" line.
struct IniEntry {
  std::string key;
  std::string value;  ///< Without surrounding spaces; may be empty.
  int line = 0;

  friend bool operator==(const IniEntry&, const IniEntry&) = default;
};

/// One section with its keys in the order of the file.
struct IniSection {
  std::string kind;  ///< First word of the title.
  std::string name;  ///< The rest of the title; may be empty.
  int line = 0;
  std::vector<IniEntry> entries;

  /// Returns the title as written, with single spaces.
  std::string title() const;

  friend bool operator==(const IniSection&, const IniSection&) = default;
};

/// One parsed file.
struct IniFile {
  std::string file;
  std::vector<IniSection> sections;

  friend bool operator==(const IniFile&, const IniFile&) = default;
};

/// Maximum number of bytes in a file and in one line.
inline constexpr std::size_t kMaxIniBytes = 1U << 20;
inline constexpr std::size_t kMaxIniLineBytes = 4096;

/// Returns the sections in `text`, or all problems: malformed lines, duplicate
/// keys or sections, keys before the first section, text that is not printable
/// UTF-8, and a file or line that exceeds its size limit.
ValueOrProblems<IniFile> ParseIni(const std::string& file,
                                  std::string_view text);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_INI_H_
