#include "tests/support/reserved_address.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <deque>
#include <stdexcept>

namespace indigolead::testing {
namespace {

/// More than the addresses of one test.
constexpr std::size_t kKept = 400;

/// A bound socket that never listens. Other sockets with address reuse enabled
/// can bind the same address and listen.
class BoundSocket {
 public:
  BoundSocket() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int yes = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address_);
    auto* generic = reinterpret_cast<sockaddr*>(&address_);
    if (bind(fd_, generic, length) != 0 ||
        getsockname(fd_, generic, &length) != 0) {
      throw std::runtime_error("no port of 127.0.0.1 is free");
    }
  }
  ~BoundSocket() { close(fd_); }
  BoundSocket(const BoundSocket&) = delete;
  BoundSocket& operator=(const BoundSocket&) = delete;

  int port() const { return ntohs(address_.sin_port); }

 private:
  int fd_;
  sockaddr_in address_{};
};

}  // namespace

std::string ReserveAddress() {
  static std::deque<BoundSocket> kept;
  if (kept.size() == kKept) {
    kept.pop_front();
  }
  return "127.0.0.1:" + std::to_string(kept.emplace_back().port());
}

}  // namespace indigolead::testing
