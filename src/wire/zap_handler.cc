#include "wire/zap_handler.h"

#include <algorithm>
#include <array>
#include <vector>

namespace indigolead::internal {
namespace {

// Frames of a ZAP request: version, request id, domain, address, identity,
// mechanism and, for CURVE, the client's public key.
constexpr std::size_t kRequestId = 1;
constexpr std::size_t kMechanism = 5;
constexpr std::size_t kCredentials = 6;
constexpr std::size_t kCurveFrames = 7;
constexpr std::size_t kKeyBytes = 32;

std::string EncodeKey(const std::string& key) {
  std::array<char, 41> text{};
  zmq_z85_encode(text.data(), reinterpret_cast<const std::uint8_t*>(key.data()),
                 kKeyBytes);
  return text.data();
}

}  // namespace

ZapHandler::ZapHandler(boost::asio::io_context* io, zmq::context_t* context,
                       IsTrusted is_trusted)
    : socket_(std::make_shared<ZmqSocket>(io, context, zmq::socket_type::rep)),
      is_trusted_(std::move(is_trusted)) {
  socket_->raw().set(zmq::sockopt::linger, 0);
  socket_->raw().bind("inproc://zeromq.zap.01");
  socket_->Start([this] { return Drain(); });
}

ZapHandler::~ZapHandler() { socket_->Close(); }

bool ZapHandler::Drain() {
  zmq::message_t frame;
  while (socket_->Receive(&frame)) {
    std::vector<std::string> request = {frame.to_string()};
    while (frame.more() && socket_->Receive(&frame)) {
      request.push_back(frame.to_string());
    }
    request.resize(std::max(request.size(), kCurveFrames));
    const bool trusted = request[kMechanism] == "CURVE" &&
                         request[kCredentials].size() == kKeyBytes &&
                         is_trusted_(EncodeKey(request[kCredentials]));
    const std::vector<std::string> reply = {"1.0",
                                            request[kRequestId],
                                            trusted ? "200" : "400",
                                            trusted ? "OK" : "key not trusted",
                                            "",
                                            ""};
    for (std::size_t n = 0; n < reply.size(); ++n) {
      socket_->Send(zmq::message_t(reply[n].data(), reply[n].size()),
                    n + 1 < reply.size());
    }
  }
  return false;
}

}  // namespace indigolead::internal
