#ifndef INDIGOLEAD_TESTS_SUPPORT_RESERVED_ADDRESS_H_
#define INDIGOLEAD_TESTS_SUPPORT_RESERVED_ADDRESS_H_

#include <string>

namespace indigolead::testing {

/// Returns "127.0.0.1:PORT" at which a process of a test may listen, once or
/// again and again.
///
/// The port is kept bound, so that the system gives it to no other socket of
/// this machine in the meantime: a process that is started seconds later would
/// find its address taken and end. The last few hundred ports are kept.
std::string ReserveAddress();

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_RESERVED_ADDRESS_H_
