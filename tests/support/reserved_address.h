#ifndef INDIGOLEAD_TESTS_SUPPORT_RESERVED_ADDRESS_H_
#define INDIGOLEAD_TESTS_SUPPORT_RESERVED_ADDRESS_H_

#include <string>

namespace indigolead::testing {

/// Returns "127.0.0.1:PORT" at which a process of a test may listen, also
/// repeatedly.
///
/// The port stays bound so that the system assigns it to no other socket.
/// Otherwise a process that starts seconds later could find the address in use
/// and exit. The last few hundred ports are kept.
std::string ReserveAddress();

}  // namespace indigolead::testing

#endif  // INDIGOLEAD_TESTS_SUPPORT_RESERVED_ADDRESS_H_
