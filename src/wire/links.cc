#include "wire/links.h"

#include <utility>

#include "wire/links_impl.h"

namespace indigolead {

Links::Links(boost::asio::io_context* io, Options options, Hooks hooks,
             Clock clock, IdSource ids, EventLog log, MetricsRegistry* metrics)
    : impl_(std::make_unique<Impl>(io, std::move(options), std::move(hooks),
                                   std::move(clock), std::move(ids),
                                   std::move(log), metrics)) {}

Links::~Links() = default;

Status Links::Start() { return impl_->Start(); }

std::string Links::bound_address() const { return impl_->bound_address(); }

void Links::Connect(const std::string& address) { impl_->Connect(address); }

void Links::Disconnect(const std::string& address) {
  impl_->Disconnect(address);
}

bool Links::Send(LinkId link, const wire::Envelope& message) {
  return impl_->Send(link, message);
}

void Links::Stop(const std::string& reason) { impl_->Stop(reason); }

}  // namespace indigolead
