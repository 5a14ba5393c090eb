#include <cstdio>

int main() {
  std::puts("indigolead-standin " INDIGOLEAD_VERSION);
  return 0;
}
