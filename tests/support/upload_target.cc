#include "tests/support/upload_target.h"

#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace indigolead {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr int kReceiveWindowBytes = 16 << 10;
constexpr std::size_t kMaxHeadBytes = 16 << 10;
constexpr std::chrono::milliseconds kPollInterval{1};

/// Returns the value of X-Request-Id in a request's head; empty if absent.
std::string IdIn(const std::string& head) {
  const std::string name = "X-Request-Id: ";
  const auto at = head.find(name);
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + name.size();
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

UploadTarget::UploadTarget(Options options)
    : options_(std::move(options)), acceptor_(io_, tcp::v4()) {
  // A window is offered with the size that the listening socket has.
  acceptor_.set_option(
      asio::socket_base::receive_buffer_size(kReceiveWindowBytes));
  acceptor_.bind({asio::ip::address_v4::loopback(), 0});
  acceptor_.listen();
  acceptor_.non_blocking(true);
  accepting_ = std::thread([this] { Accept(); });
}

UploadTarget::~UploadTarget() {
  stopping_ = true;
  accepting_.join();
  for (std::thread& it : serving_) {
    it.join();
  }
}

std::string UploadTarget::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void UploadTarget::Accept() {
  while (!stopping_) {
    error_code ec;
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec) {
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    socket.non_blocking(false);
    // A reset discards what has not been sent yet.
    socket.set_option(tcp::no_delay(true), ec);
    serving_.emplace_back(
        [this, it = std::move(socket)]() mutable { Serve(std::move(it)); });
  }
}

std::string UploadTarget::HeadFor(const std::string& id) const {
  std::string head = options_.head;
  for (auto at = head.find("ID"); at != std::string::npos;
       at = head.find("ID", at + id.size())) {
    head.replace(at, 2, id);
  }
  return head;
}

void UploadTarget::Serve(tcp::socket socket) {
  error_code ec;
  std::string request;
  std::size_t n = asio::read_until(
      socket, asio::dynamic_buffer(request, kMaxHeadBytes), "\r\n\r\n", ec);
  if (ec) {
    return;  // Closed by the client without a request.
  }
  std::size_t body_bytes = request.size() - n;
  std::array<char, 4096> buf;
  while (!ec && body_bytes < options_.read_bytes) {
    body_bytes += socket.read_some(asio::buffer(buf), ec);
  }
  const std::string id = IdIn(request);
  asio::write(socket, asio::buffer(HeadFor(id)), ec);
  while (options_.holds_body && !may_send_body_ && !stopping_) {
    std::this_thread::sleep_for(kPollInterval);
  }
  asio::write(socket, asio::buffer(options_.body), ec);
  if (options_.end == End::kReset) {
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
  } else {
    socket.shutdown(tcp::socket::shutdown_send, ec);
  }
  responses_ += id.empty() ? 0 : 1;
  if (options_.end == End::kReset) {
    return;
  }
  while (options_.end == End::kCloseAndStall && !stopping_) {
    std::this_thread::sleep_for(kPollInterval);
  }
  while (!ec) {
    socket.read_some(asio::buffer(buf), ec);
  }
}

}  // namespace indigolead
