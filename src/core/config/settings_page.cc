#include <sstream>

#include "core/config/settings_table.h"

namespace indigolead {
namespace {

std::string DefaultText(const KeyRow<Settings>& row) {
  Settings defaults;
  const std::string text = FormatField(row.rule, row.field(defaults));
  return text.empty() ? "none" : "`" + text + "`";
}

std::string DefaultOrRequired(const KeyRow<Settings>& row) {
  if (!row.required) {
    return DefaultText(row);
  }
  return IsRequired(row, SettingsRole::kSide) ? "required"
                                              : "required, but for a side";
}

}  // namespace

std::string SettingsMarkdown() {
  std::ostringstream os;
  os << "# Settings\n\n"
     << "Printed by `indigolead help settings` from the table that checks "
        "settings files.\n"
     << "An entry reads the sections instance, store, links, entry and log; "
        "a side\n"
     << "instance, store, links, side and log; operators' commands store and "
        "log.\n";
  std::string section;
  for (const KeyRow<Settings>& it : SettingsTable()) {
    if (it.section != section) {
      section = it.section;
      os << "\n## [" << section << "]\n\n"
         << "| key | default | accepted | meaning |\n"
         << "| --- | --- | --- | --- |\n";
    }
    os << "| `" << it.key << "` | " << DefaultOrRequired(it) << " | "
       << AcceptedText(it.rule) << " | " << it.meaning << " |\n";
  }
  return os.str();
}

}  // namespace indigolead
