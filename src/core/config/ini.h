#ifndef INDIGOLEAD_CORE_CONFIG_INI_H_
#define INDIGOLEAD_CORE_CONFIG_INI_H_

// Reads INI text and keeps the line of every section and key, which the
// messages about a wrong one need. The libraries at hand lose them once the
// text is read; docs/STYLE.md names them.
//
// A file has sections ("[title]" or "[kind name]") of lines "key = value".
// Lines that start with ';' or '#' are comments; there are none after a value.

#include <string>
#include <string_view>
#include <vector>

#include "core/config/config_problem.h"

namespace indigolead {

/// One "key = value".
struct IniEntry {
  std::string key;
  std::string value;  ///< Without the spaces round it; may be empty.
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

/// One file as read.
struct IniFile {
  std::string file;
  std::vector<IniSection> sections;

  friend bool operator==(const IniFile&, const IniFile&) = default;
};

/// Most bytes, and most bytes in one line, of a file.
inline constexpr std::size_t kMaxIniBytes = 1U << 20;
inline constexpr std::size_t kMaxIniLineBytes = 4096;

/// Returns the sections in `text`, or every line that is neither a section,
/// a key with a value, a comment nor empty; also a key or section that comes
/// twice, a key before the first section, and text that is not printable
/// UTF-8.
Checked<IniFile> ParseIni(const std::string& file, std::string_view text);

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_INI_H_
