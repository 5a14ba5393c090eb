// CURVE keys of `Links`: socket options and reloading of the key files.
#include <algorithm>

#include "wire/events.h"
#include "wire/links_impl.h"

namespace indigolead {
namespace {

/// Interval at which the key files are reloaded.
constexpr Duration kKeyReloadInterval = std::chrono::seconds(5);

}  // namespace

Status Links::Impl::StartKeys() {
  if (!IsEncrypted()) {
    log_(events::kLinksUnencrypted, {{"address", options_.bind_address}});
    return Unit{};
  }
  auto keys = internal::LoadCurveKeys(options_.public_key_file,
                                      options_.secret_key_file,
                                      options_.trusted_keys_file);
  if (!IsOk(keys)) {
    return ErrorOf(keys);
  }
  keys_ = ValueOf(std::move(keys));
  keys_read_at_ = clock_();
  zap_ = std::make_unique<internal::ZapHandler>(
      io_, &context_, [this](const std::string& key) {
        return std::find(keys_.trusted.begin(), keys_.trusted.end(), key) !=
               keys_.trusted.end();
      });
  return Unit{};
}

void Links::Impl::ReloadKeys(TimePoint now) {
  if (!IsEncrypted() || now - keys_read_at_ < kKeyReloadInterval) {
    return;
  }
  keys_read_at_ = now;
  auto keys = internal::LoadCurveKeys(options_.public_key_file,
                                      options_.secret_key_file,
                                      options_.trusted_keys_file);
  if (!IsOk(keys)) {
    // Keep the current keys: a half-written file must not lock out all peers.
    log_(events::kKeysNotReloaded,
         {{"file", ErrorOf(keys).peer}, {"reason", ErrorOf(keys).detail}});
    return;
  }
  if (ValueOf(keys) != keys_) {
    keys_ = ValueOf(std::move(keys));
    log_(events::kKeysReloaded,
         {{"trusted", std::to_string(keys_.trusted.size())}});
  }
}

void Links::Impl::SetServerKeys(zmq::socket_t* socket) const {
  if (!IsEncrypted()) {
    return;
  }
  socket->set(zmq::sockopt::curve_server, true);
  socket->set(zmq::sockopt::curve_secretkey, keys_.secret_key);
  socket->set(zmq::sockopt::zap_domain, "links");
}

void Links::Impl::SetClientKeys(const Dial& dial, zmq::socket_t* socket) const {
  if (!IsEncrypted()) {
    return;
  }
  // The peer may hold any of the trusted keys, so each failed dial is followed
  // by one with the next key.
  socket->set(zmq::sockopt::curve_serverkey,
              keys_.trusted[dial.dial_attempts % keys_.trusted.size()]);
  socket->set(zmq::sockopt::curve_publickey, keys_.public_key);
  socket->set(zmq::sockopt::curve_secretkey, keys_.secret_key);
}

}  // namespace indigolead
