#include "tests/support/raw_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <stdexcept>

namespace indigolead {
namespace {

constexpr int kReadTimeoutMs = 10000;

}  // namespace

RawClient::RawClient(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) !=
      0) {
    throw std::runtime_error("cannot connect to " + address);
  }
}

RawClient::~RawClient() { Close(); }

void RawClient::Close() {
  if (fd_ >= 0) {
    close(fd_);
    fd_ = -1;
  }
}

bool RawClient::Write(std::string_view data) {
  while (!data.empty()) {
    const auto n = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    data.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool RawClient::ReadSome() {
  pollfd ready{fd_, POLLIN, 0};
  if (poll(&ready, 1, kReadTimeoutMs) <= 0) {
    return false;
  }
  std::array<char, 65536> buf;
  const auto n = recv(fd_, buf.data(), buf.size(), 0);
  if (n <= 0) {
    closed_ = true;
    reset_ = n < 0 && errno == ECONNRESET;
    return false;
  }
  seen_.append(buf.data(), static_cast<std::size_t>(n));
  return true;
}

const std::string& RawClient::ReadUntil(std::string_view text) {
  while (seen_.find(text) == std::string::npos && ReadSome()) {
  }
  return seen_;
}

const std::string& RawClient::ReadToEnd() {
  while (ReadSome()) {
  }
  return seen_;
}

}  // namespace indigolead
