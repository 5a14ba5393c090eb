#include <iostream>
#include <string>
#include <vector>

#include "cli/commands.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return indigolead::cli::RunCommandLine(arguments, std::cout, std::cerr);
}
