#include "cli/settings_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <utility>

#include "core/config/ini.h"

namespace indigolead::cli {

Result<std::string> ReadTextFile(const std::string& path) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxIniBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!file.is_open() || file.bad() || (file.fail() && !file.eof())) {
    return Error{ErrorCode::kInvalidInput, "file.read", path,
                 std::string("cannot be read: ") + std::strerror(errno)};
  }
  // Keep one byte beyond the limit so that the size check can detect the
  // excess.
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

std::optional<Settings> LoadSettings(const std::string& path, SettingsRole role,
                                     std::ostream& err) {
  if (path.empty()) {
    err << "indigolead: --settings FILE is missing; docs/SETTINGS.md lists "
           "its keys\n";
    return std::nullopt;
  }
  const Result<std::string> text = ReadTextFile(path);
  if (!IsOk(text)) {
    err << path << ": " << ErrorOf(text).detail << "\n";
    return std::nullopt;
  }
  ValueOrProblems<Settings> settings = ReadSettings(path, ValueOf(text), role);
  if (settings.index() == 1) {
    err << ToText(std::get<1>(settings));
    return std::nullopt;
  }
  return std::get<0>(std::move(settings));
}

}  // namespace indigolead::cli
