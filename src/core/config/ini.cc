#include "core/config/ini.h"

#include <map>
#include <set>
#include <utility>

#include "core/config/value_text.h"

namespace indigolead {
namespace {

/// Parses one file line by line.
class IniParser {
 public:
  explicit IniParser(const std::string& file) { ini_.file = file; }

  ValueOrProblems<IniFile> Parse(std::string_view text) {
    if (text.size() > kMaxIniBytes) {
      AddProblem("", "has " + std::to_string(text.size()) +
                         " bytes; accepted are at most " +
                         std::to_string(kMaxIniBytes));
      return std::move(problems_);
    }
    while (!text.empty()) {
      const std::size_t end = text.find('\n');
      ++line_;
      ReadLine(text.substr(0, end));
      text = end == std::string_view::npos ? "" : text.substr(end + 1);
    }
    if (!problems_.empty()) {
      return std::move(problems_);
    }
    return std::move(ini_);
  }

 private:
  void ReadLine(std::string_view raw) {
    if (raw.size() > kMaxIniLineBytes) {
      AddProblem("", "line has " + std::to_string(raw.size()) +
                         " bytes; accepted are at most " +
                         std::to_string(kMaxIniLineBytes));
      return;
    }
    const std::string_view text = TrimSpaces(raw);
    if (text.empty() || text.front() == ';' || text.front() == '#') {
      return;
    }
    if (!IsPrintableUtf8(text)) {
      AddProblem("", "line has bytes that are not printable UTF-8 text");
      return;
    }
    if (text.front() == '[') {
      ReadSection(text);
    } else {
      ReadEntry(text);
    }
  }

  void ReadSection(std::string_view text) {
    if (text.back() != ']' || text.size() < 3) {
      AddProblem("",
                 "expected \"[section]\", got \"" + std::string(text) + "\"");
      return;
    }
    const std::string_view title = TrimSpaces(text.substr(1, text.size() - 2));
    const std::size_t space = title.find_first_of(" \t");
    IniSection section;
    section.kind = std::string(title.substr(0, space));
    section.line = line_;
    if (space != std::string_view::npos) {
      section.name = std::string(TrimSpaces(title.substr(space)));
    }
    const std::string full_title = section.title();
    ini_.sections.push_back(std::move(section));
    keys_.clear();
    const auto [it, inserted] = section_lines_.emplace(full_title, line_);
    if (!inserted) {
      AddProblem("", "appears twice, first on line " +
                         std::to_string(it->second) +
                         "; move all its keys into one section");
    }
  }

  void ReadEntry(std::string_view text) {
    const std::size_t equals = text.find('=');
    const std::string key(TrimSpaces(text.substr(0, equals)));
    if (equals == std::string_view::npos || key.empty()) {
      AddProblem("",
                 "expected \"key = value\", \"[section]\" or a comment, "
                 "got \"" +
                     std::string(text) + "\"");
      return;
    }
    if (ini_.sections.empty()) {
      AddProblem(key,
                 "appears before the first section; move it into a section");
      return;
    }
    const auto [it, inserted] = keys_.emplace(key, line_);
    if (!inserted) {
      AddProblem(key, "appears twice, first on line " +
                          std::to_string(it->second) + "; keep one of them");
      return;
    }
    ini_.sections.back().entries.push_back(
        {key, std::string(TrimSpaces(text.substr(equals + 1))), line_});
  }

  void AddProblem(const std::string& key, std::string detail) {
    const std::string section =
        ini_.sections.empty() ? "" : ini_.sections.back().title();
    problems_.push_back({ini_.file, line_, section, key, std::move(detail)});
  }

  IniFile ini_;
  int line_ = 0;
  std::map<std::string, int> section_lines_;
  std::map<std::string, int> keys_;
  std::vector<ConfigProblem> problems_;
};

}  // namespace

std::string IniSection::title() const {
  return name.empty() ? kind : kind + " " + name;
}

ValueOrProblems<IniFile> ParseIni(const std::string& file,
                                  std::string_view text) {
  return IniParser(file).Parse(text);
}

}  // namespace indigolead
