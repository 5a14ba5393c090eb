#ifndef INDIGOLEAD_TESTS_SUPPORT_SCRATCH_FOLDER_H_
#define INDIGOLEAD_TESTS_SUPPORT_SCRATCH_FOLDER_H_

#include <cstdlib>
#include <filesystem>
#include <string>

namespace indigolead::testing {

/// Temporary directory that is removed with this object.
class ScratchFolder {
 public:
  ScratchFolder() {
    std::string pattern =
        std::filesystem::temp_directory_path() / "indigolead-XXXXXX";
    path_ = mkdtemp(pattern.data());
  }
  ~ScratchFolder() { std::filesystem::remove_all(path_); }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  /// Returns the path of `name` in the folder.
  std::string Sub(const std::string& name) const { return path_ / name; }

 private:
  std::filesystem::path path_;
};

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_SCRATCH_FOLDER_H_
