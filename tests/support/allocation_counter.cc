#include "tests/support/allocation_counter.h"

#include <cstdlib>
#include <new>

namespace {
thread_local std::uint64_t allocations = 0;
}  // namespace

void* operator new(std::size_t size) {
  ++allocations;
  if (void* memory = std::malloc(size == 0 ? 1 : size)) {
    return memory;
  }
  throw std::bad_alloc();
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }

namespace indigolead {

std::uint64_t AllocationsOfThisThread() { return allocations; }

}  // namespace indigolead
