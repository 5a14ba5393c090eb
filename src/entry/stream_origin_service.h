#ifndef INDIGOLEAD_ENTRY_STREAM_ORIGIN_SERVICE_H_
#define INDIGOLEAD_ENTRY_STREAM_ORIGIN_SERVICE_H_

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/membership/relay_choice.h"
#include "core/request/stream_origins.h"
#include "observe/event_log.h"
#include "wire/stream_origin_link.h"

namespace indigolead {

/// Shares the origins of streams with the other entries over the network.
///
/// Runs on the thread of its io_context.
class StreamOriginService {
 public:
  /// `io` must outlive this object.
  StreamOriginService(boost::asio::io_context* io,
                      StreamOrigins::Options options, Clock clock,
                      const EventLog& log);
  StreamOriginService(const StreamOriginService&) = delete;
  StreamOriginService& operator=(const StreamOriginService&) = delete;

  /// Starts to receive at `address`, "IP:port". If it cannot be bound, or is
  /// empty, this entry neither gets nor sends origins.
  void Start(const std::string& address);

  /// Returns the address that receives, "IP:port"; empty if none does.
  const std::string& bound_address() const { return link_.bound_address(); }

  /// Sets what gets the digests of other entries; see `BacklogExchange`.
  void SetDigestHandler(
      std::function<void(const std::string& address, const BacklogDigest&)>
          handler) {
    on_digest_ = std::move(handler);
  }
  /// Does nothing if this entry cannot send.
  void SendDigest(const std::string& address, const BacklogDigest& digest) {
    if (!bound_address().empty()) {
      link_.SendDigest(address, digest);
    }
  }

  /// Sets the list of live entries, which may include this one.
  void OnEntries(const std::vector<RelayCandidate>& entries);

  /// See `StreamOrigins`.
  void OnStreamBegun(const std::string& id, const StreamOrigin& origin) {
    origins_.OnStreamBegun(id, origin);
  }
  void Find(const std::string& id, StreamOrigins::Done done) {
    origins_.Find(id, std::move(done));
  }
  void StartHandover() { origins_.StartHandover(); }
  bool handed_over() const { return origins_.handed_over(); }
  void Tick() { origins_.Tick(); }

 private:
  StreamOrigins::Hooks OriginsHooks();
  StreamOriginLink::Hooks LinkHooks();

  EventLog log_;
  std::function<void(const std::string& address, const BacklogDigest&)>
      on_digest_;
  StreamOriginLink link_;
  StreamOrigins origins_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_ENTRY_STREAM_ORIGIN_SERVICE_H_
