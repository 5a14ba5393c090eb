#ifndef INDIGOLEAD_ENTRY_LISTEN_H_
#define INDIGOLEAD_ENTRY_LISTEN_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "core/base/result.h"

namespace indigolead {

/// Opens `acceptor`, which must be closed, and listens at `address`
/// ("IP:port"). After an error the acceptor is closed again.
///
/// Returns `kUnavailable` if the address is in use or does not belong to this
/// machine, either of which may pass; `kInvalidInput` if it can never be used.
/// `step` names the caller in the error.
Status Listen(const std::string& address, const std::string& step,
              boost::asio::ip::tcp::acceptor* acceptor);

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_LISTEN_H_
