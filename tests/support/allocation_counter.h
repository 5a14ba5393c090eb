#ifndef INDIGOLEAD_TESTS_SUPPORT_ALLOCATION_COUNTER_H_
#define INDIGOLEAD_TESTS_SUPPORT_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace indigolead {

/// Returns how often this thread has called operator new.
std::uint64_t AllocationsOfThisThread();

}  // namespace indigolead

#endif  // INDIGOLEAD_TESTS_SUPPORT_ALLOCATION_COUNTER_H_
