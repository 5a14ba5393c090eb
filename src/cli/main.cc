#include <cstdio>

// Placeholder of the skeleton commit: prints the version until the commands
// are joined to it.
int main() {
  std::puts("indigolead " INDIGOLEAD_VERSION);
  return 0;
}
