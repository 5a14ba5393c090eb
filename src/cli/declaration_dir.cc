#include "cli/declaration_dir.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

#include "cli/flags.h"
#include "cli/settings_file.h"
#include "core/config/declarations.h"
#include "core/config/ini.h"
#include "core/config/value_text.h"

namespace indigolead::cli {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kMaxFiles = 1000;

Result<std::vector<fs::path>> ListFiles(const std::string& directory) {
  std::error_code ec;
  std::vector<fs::path> paths;
  for (fs::directory_iterator it(directory, ec), end; !ec && it != end;
       it.increment(ec)) {
    if (it->path().extension() == ".ini" &&
        it->path().filename() != kSeenFile) {
      paths.push_back(it->path());
    }
  }
  if (ec) {
    return Error{ErrorCode::kInvalidInput, "declarations.list", directory,
                 ec.message()};
  }
  if (paths.empty() || paths.size() > kMaxFiles) {
    return Error{ErrorCode::kInvalidInput, "declarations.list", directory,
                 "has " + std::to_string(paths.size()) +
                     " files named *.ini; accepted are 1 to " +
                     std::to_string(kMaxFiles)};
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

bool AddSeen(const std::string& name, const std::string& text,
             SeenRevisions* seen) {
  const auto number = ParseInteger(text);
  if (!IsName(name) || !number || *number < 0) {
    return false;
  }
  (*seen)[name] = static_cast<std::uint64_t>(*number);
  return true;
}

bool AddSeenFlag(SeenRevisions* seen, std::ostream& err) {
  for (const std::string& it : SplitList(FLAGS_seen)) {
    const std::size_t equals = it.find('=');
    if (equals == std::string::npos ||
        !AddSeen(it.substr(0, equals), it.substr(equals + 1), seen)) {
      err << "indigolead: --seen: \"" << it
          << "\" is not accepted; accepted is NAME=NUMBER, such as "
             "tarifa-llm=4\n";
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<std::vector<DeploymentSpec>> LoadDeclarations(
    const std::string& directory, std::ostream& err) {
  const auto paths = ListFiles(directory);
  if (!IsOk(paths)) {
    err << "indigolead: " << ErrorOf(paths) << "\n";
    return std::nullopt;
  }
  std::vector<DeclarationFile> files;
  for (const fs::path& it : ValueOf(paths)) {
    Result<std::string> text = ReadTextFile(it.string());
    if (!IsOk(text)) {
      err << "indigolead: " << ErrorOf(text) << "\n";
      return std::nullopt;
    }
    files.push_back({it.string(), ValueOf(std::move(text))});
  }
  auto specs = ReadDeclarations(files);
  if (specs.index() == 1) {
    err << ToText(std::get<1>(specs));
    return std::nullopt;
  }
  return std::get<0>(std::move(specs));
}

std::optional<SeenRevisions> LoadSeen(const std::string& directory,
                                      std::ostream& err) {
  const std::string path = (fs::path(directory) / kSeenFile).string();
  SeenRevisions seen;
  std::error_code ec;
  if (fs::exists(path, ec)) {
    const Result<std::string> text = ReadTextFile(path);
    if (!IsOk(text)) {
      err << "indigolead: " << ErrorOf(text) << "\n";
      return std::nullopt;
    }
    const ValueOrProblems<IniFile> ini = ParseIni(path, ValueOf(text));
    if (ini.index() == 1) {
      err << ToText(std::get<1>(ini));
      return std::nullopt;
    }
    for (const IniSection& section : std::get<0>(ini).sections) {
      for (const IniEntry& it : section.entries) {
        if (section.title() != "seen" || !AddSeen(it.key, it.value, &seen)) {
          err << ConfigProblem{path, it.line, section.title(), it.key,
                               "accepted is [seen] DEPLOYMENT = NUMBER"}
              << "\n";
          return std::nullopt;
        }
      }
    }
  }
  if (!AddSeenFlag(&seen, err)) {
    return std::nullopt;
  }
  return seen;
}

Status SaveSeen(const std::string& directory, const SeenRevisions& seen) {
  std::string text =
      "; From which revision each deployment was edited. Kept by apply and\n"
      "; export; keep it with the declarations in version control.\n"
      "[seen]\n";
  for (const auto& [name, number] : seen) {
    text += name + " = " + std::to_string(number) + "\n";
  }
  return WriteTextFile((fs::path(directory) / kSeenFile).string(), text);
}

Status WriteTextFile(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  std::error_code ec;
  {
    std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
    file << text;
    file.close();
    if (file.fail()) {
      return Error{ErrorCode::kUnavailable, "file.write", temporary,
                   "cannot be written"};
    }
  }
  fs::rename(temporary, path, ec);
  if (ec) {
    return Error{ErrorCode::kUnavailable, "file.rename", path, ec.message()};
  }
  return Unit{};
}

}  // namespace indigolead::cli
