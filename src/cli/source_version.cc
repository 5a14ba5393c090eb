#include "cli/source_version.h"

#include <filesystem>
#include <fstream>
#include <optional>
#include <system_error>

namespace indigolead::cli {
namespace {

namespace fs = std::filesystem;

std::string FirstLine(const fs::path& path) {
  std::ifstream file(path);
  std::string line;
  std::getline(file, line);
  return line;
}

std::optional<std::string> AfterPrefix(const std::string& text,
                                       const std::string& prefix) {
  if (!text.starts_with(prefix)) {
    return std::nullopt;
  }
  return text.substr(prefix.size());
}

/// Returns the ".git" directory of the work tree that contains `path`.
fs::path FindGitFolder(fs::path path) {
  std::error_code ec;
  while (!path.empty()) {
    fs::path candidate = path / ".git";
    if (fs::is_directory(candidate, ec)) {
      return candidate;
    }
    // In a linked work tree, ".git" is a file that names the directory.
    if (const auto linked = AfterPrefix(FirstLine(candidate), "gitdir: ")) {
      return path / *linked;
    }
    if (path == path.root_path()) {
      break;
    }
    path = path.parent_path();
  }
  return {};
}

std::string FindPacked(const fs::path& folder, const std::string& reference) {
  std::ifstream file(folder / "packed-refs");
  for (std::string line; std::getline(file, line);) {
    if (line.ends_with(" " + reference)) {
      return line.substr(0, line.find(' '));
    }
  }
  return "";
}

}  // namespace

std::string FindSourceVersion(const std::string& directory) {
  std::error_code ec;
  const fs::path start = fs::absolute(directory, ec).lexically_normal();
  const fs::path git = directory.empty() ? fs::path() : FindGitFolder(start);
  if (git.empty()) {
    return "";
  }
  std::string head = FirstLine(git / "HEAD");
  const auto reference = AfterPrefix(head, "ref: ");
  if (!reference) {
    return head;
  }
  const std::string common_line = FirstLine(git / "commondir");
  const fs::path common = common_line.empty() ? git : git / common_line;
  const std::string loose = FirstLine(common / *reference);
  return loose.empty() ? FindPacked(common, *reference) : loose;
}

}  // namespace indigolead::cli
