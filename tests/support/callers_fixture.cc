#include "tests/support/callers_fixture.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>

#include "runtime/clock.h"

namespace indigolead {
namespace {

constexpr std::chrono::seconds kTestTimeout{10};

std::string Hex(const KeyHash& hash) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char it : hash) {
    text += kDigits[it >> 4];
    text += kDigits[it & 15];
  }
  return text;
}

Revision Example(const std::string& name, DeploymentKind kind) {
  ClientAccountSpec account;
  account.name = "salon-bilbao";
  account.api_key_sha256 = Hex(HashKey(kExampleKey));
  Revision revision;
  revision.number = 1;
  revision.spec.name = name;
  revision.spec.kind = kind;
  revision.spec.client_accounts = {account};
  return revision;
}

}  // namespace

std::map<std::string, Revision> ExampleRevisions() {
  Revision model = Example("tarifa-llm", DeploymentKind::kModel);
  model.spec.models = {{"tarifa", "1", {"tarifa-oviedo"}}};
  Revision service = Example("salon-app", DeploymentKind::kService);
  service.spec.path_prefix = "/menu";
  return {{"tarifa-llm", model}, {"salon-app", service}};
}

CallersFixture::CallersFixture(EntrySettings settings)
    : settings_(std::move(settings)) {
  CallersServer::Hooks hooks;
  hooks.submit = [this](std::shared_ptr<const CallerRequest> request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(std::move(request));
    changed_.notify_all();
    return true;
  };
  hooks.disconnected = [this](CallerDisconnected disconnected) {
    const std::lock_guard<std::mutex> lock(mutex_);
    disconnected_.push_back(disconnected.request);
    changed_.notify_all();
  };
  hooks.bytes_written = [this](AnswerBytesWritten bytes_written) {
    const std::lock_guard<std::mutex> lock(mutex_);
    bytes_written_ += bytes_written.bytes;
    changed_.notify_all();
  };
  hooks.ready = [] { return true; };
  server_ = std::make_unique<CallersServer>(&io_, &settings_, std::move(hooks),
                                            BootTimeNow, RandomId,
                                            MakeNullEventLog(), &metrics_);
  server_->OnMessage(
      CatalogueChanged{std::make_shared<const Catalogue>(ExampleRevisions())});
  if (!IsOk(server_->Start())) {
    throw std::runtime_error("CallersServer cannot listen on its address");
  }
  address_ = server_->bound_address();
  thread_ = std::thread([this] { io_.run(); });
}

CallersFixture::~CallersFixture() {
  Run([](CallersServer& server) { server.Stop(); });
  io_.stop();
  thread_.join();
}

std::shared_ptr<const CallerRequest> CallersFixture::Request(std::size_t n) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (!changed_.wait_for(lock, kTestTimeout,
                         [&] { return requests_.size() > n; })) {
    throw std::runtime_error("the request did not reach the dispatch thread");
  }
  return requests_[n];
}

std::size_t CallersFixture::request_count() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_.size();
}

void CallersFixture::Answer(ToCallers message) {
  Run([&](CallersServer& server) { server.OnMessage(std::move(message)); });
}

bool CallersFixture::WaitForCallerDisconnected(const RequestId& id) {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, kTestTimeout, [&] {
    return std::find(disconnected_.begin(), disconnected_.end(), id) !=
           disconnected_.end();
  });
}

std::uint64_t CallersFixture::WaitForBytesWritten(std::uint64_t least) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, kTestTimeout,
                    [&] { return bytes_written_ >= least; });
  return bytes_written_;
}

std::uint64_t CallersFixture::bytes_written() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return bytes_written_;
}

void CallersFixture::Run(const std::function<void(CallersServer&)>& task) {
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
  boost::asio::post(io_, [&] {
    task(*server_);
    const std::lock_guard<std::mutex> lock(mutex);
    done = true;
    changed.notify_one();
  });
  std::unique_lock<std::mutex> lock(mutex);
  changed.wait(lock, [&] { return done; });
}

}  // namespace indigolead
