#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "core/config/ini.h"
#include "core/config/settings_table.h"
#include "core/config/value_text.h"

namespace indigolead {
namespace {

const KeyRow<Settings>* FindRow(const std::string& section,
                                const std::string& key) {
  for (const KeyRow<Settings>& it : SettingsTable()) {
    if (it.section == section && it.key == key) {
      return &it;
    }
  }
  return nullptr;
}

std::vector<std::string> KeysOf(const std::string& section) {
  std::vector<std::string> keys;
  for (const KeyRow<Settings>& it : SettingsTable()) {
    if (it.section == section) {
      keys.push_back(it.key);
    }
  }
  return keys;
}

bool Contains(const std::vector<std::string>& words, const std::string& word) {
  return std::find(words.begin(), words.end(), word) != words.end();
}

/// Fills settings from one parsed file and collects its problems.
class SettingsReader {
 public:
  SettingsReader(const IniFile& ini, SettingsRole role)
      : ini_(ini), role_(role), sections_(SectionsOf(role)) {}

  ValueOrProblems<Settings> Read() {
    for (const IniSection& it : ini_.sections) {
      ReadSection(it);
    }
    CheckRequired();
    CheckConsistency();
    if (!problems_.empty()) {
      return std::move(problems_);
    }
    return std::move(settings_);
  }

 private:
  void ReadSection(const IniSection& section) {
    const std::string title = section.title();
    section_lines_[title] = section.line;
    if (!Contains(sections_, title)) {
      AddProblem(section.line, title, "", UnknownSectionText(title));
      return;
    }
    for (const IniEntry& it : section.entries) {
      ReadEntry(title, it);
    }
  }

  std::string UnknownSectionText(const std::string& title) const {
    const auto nearest = NearestWord(title, sections_);
    const bool other_command = !KeysOf(title).empty();
    return std::string(other_command ? "is not a section of this command"
                                     : "is not a known section") +
           (nearest ? "; did you mean [" + *nearest + "]?" : "") +
           "; accepted are " + JoinList(sections_);
  }

  void ReadEntry(const std::string& section, const IniEntry& entry) {
    const KeyRow<Settings>* row = FindRow(section, entry.key);
    if (row == nullptr) {
      const auto keys = KeysOf(section);
      const auto nearest = NearestWord(entry.key, keys);
      AddProblem(entry.line, section, entry.key,
                 "is not a known key" +
                     (nearest ? "; did you mean " + *nearest + "?" : "") +
                     "; accepted are " + JoinList(keys));
      return;
    }
    key_lines_[{section, entry.key}] = entry.line;
    const auto error =
        AssignField(row->rule, entry.value, row->field(settings_));
    if (error) {
      AddProblem(entry.line, section, entry.key, *error);
    }
  }

  void CheckRequired() {
    for (const KeyRow<Settings>& it : SettingsTable()) {
      if (IsRequired(it, role_) && Contains(sections_, it.section) &&
          !key_lines_.contains({it.section, it.key})) {
        const auto line = section_lines_.find(it.section);
        AddProblem(line == section_lines_.end() ? 0 : line->second, it.section,
                   it.key, "is missing; accepted is " + AcceptedText(it.rule));
      }
    }
  }

  /// Checks for values that are valid one by one but contradict each other.
  void CheckConsistency() {
    const LinkSettings& links = settings_.links;
    if (links.silence_timeout < 2 * links.heartbeat_interval) {
      AddProblem(
          LineOf("links", "silence_timeout"), "links", "silence_timeout",
          FormatDuration(links.silence_timeout) +
              " is less than two heartbeat intervals (" +
              FormatDuration(links.heartbeat_interval) +
              " each), so one late heartbeat would close a healthy connection; "
              "accepted is at least " +
              FormatDuration(2 * links.heartbeat_interval));
    }
    CheckAllOrNone("links",
                   {"public_key_file", "secret_key_file", "trusted_keys_file"});
    CheckAllOrNone("entry", {"tls_certificate_file", "tls_key_file"});
  }

  void CheckAllOrNone(const std::string& section,
                      const std::vector<std::string>& keys) {
    const auto given = [&](const std::string& key) {
      return key_lines_.contains({section, key});
    };
    const auto first = std::find_if(keys.begin(), keys.end(), given);
    const auto absent = std::find_if_not(keys.begin(), keys.end(), given);
    if (first != keys.end() && absent != keys.end()) {
      AddProblem(LineOf(section, *first), section, *absent,
                 "is missing although " + *first +
                     " is set; set all or none of " + JoinList(keys));
    }
  }

  int LineOf(const std::string& section, const std::string& key) const {
    const auto it = key_lines_.find({section, key});
    return it == key_lines_.end() ? 0 : it->second;
  }

  void AddProblem(int line, const std::string& section, const std::string& key,
                  std::string detail) {
    problems_.push_back({ini_.file, line, section, key, std::move(detail)});
  }

  const IniFile& ini_;
  SettingsRole role_;
  std::vector<std::string> sections_;
  Settings settings_;
  std::map<std::string, int> section_lines_;
  std::map<std::pair<std::string, std::string>, int> key_lines_;
  std::vector<ConfigProblem> problems_;
};

}  // namespace

ValueOrProblems<Settings> ReadSettings(const std::string& file,
                                       std::string_view text,
                                       SettingsRole role) {
  ValueOrProblems<IniFile> ini = ParseIni(file, text);
  if (ini.index() == 1) {
    return std::get<1>(std::move(ini));
  }
  return SettingsReader(std::get<0>(ini), role).Read();
}

}  // namespace indigolead
