#include "store/http_object_store.h"

#include "store/object_limits.h"
#include "store/store_calls.h"
#include "store/store_connection.h"
#include "store/store_json.h"

namespace indigolead {
namespace {

using internal::IsWriteStep;
using internal::StoreReply;
using internal::StoreRequest;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

/// Returns the error for a status other than success.
Error ErrorForStatus(const std::string& step, const std::string& peer,
                     const StoreReply& reply) {
  const std::string status = "status " + std::to_string(reply.status);
  switch (reply.status) {
    case kConflict:
      return {ErrorCode::kConflict, step, peer,
              std::to_string(reply.version.value_or(0))};
    case kTooLarge:
      return {ErrorCode::kInvalidInput, step, peer, "value above 1 MiB"};
    case kTooManyRequests:
    case kUnavailable:
      return {ErrorCode::kUnavailable, step, peer, status};
    default:
      break;
  }
  if (reply.status >= kBadRequest && reply.status < kServerError) {
    return {ErrorCode::kProtocol, step, peer, status};
  }
  // Only 429 and 503 guarantee that nothing was done; after any other server
  // error, the outcome of a write is unknown.
  return {
      IsWriteStep(step) ? ErrorCode::kUnknownEffect : ErrorCode::kUnavailable,
      step, peer, status};
}

Error InvalidResponseError(const std::string& step, const std::string& peer) {
  return {IsWriteStep(step) ? ErrorCode::kUnknownEffect : ErrorCode::kProtocol,
          step, peer, "the response does not conform to the object API"};
}

/// Returns a callback that passes the result of `convert` on a successful
/// reply, or an error, to `done`.
template <typename T>
StoreCalls::ReplyCallback Convert(
    std::string step, std::string peer, ObjectStore::Callback<T> done,
    std::function<std::optional<T>(StoreReply&&)> convert) {
  return
      [step = std::move(step), peer = std::move(peer), done = std::move(done),
       convert = std::move(convert)](Result<StoreReply> result) {
        if (!IsOk(result)) {
          done(ErrorOf(result));
          return;
        }
        StoreReply reply = ValueOf(std::move(result));
        if (reply.status != kOk) {
          done(ErrorForStatus(step, peer, reply));
          return;
        }
        auto value = convert(std::move(reply));
        if (value) {
          done(std::move(*value));
        } else {
          done(InvalidResponseError(step, peer));
        }
      };
}

/// Stops its watch when destroyed.
class HttpWatch : public ObjectStore::Watch {
 public:
  HttpWatch(std::weak_ptr<StoreCalls> calls,
            std::shared_ptr<StoreCalls::WatchState> state)
      : calls_(std::move(calls)), state_(std::move(state)) {}
  ~HttpWatch() override {
    if (const auto calls = calls_.lock()) {
      calls->StopWatch(state_);
    }
  }
  HttpWatch(const HttpWatch&) = delete;
  HttpWatch& operator=(const HttpWatch&) = delete;

 private:
  std::weak_ptr<StoreCalls> calls_;
  std::shared_ptr<StoreCalls::WatchState> state_;
};

}  // namespace

HttpObjectStore::Options HttpObjectStore::OptionsFrom(
    const StoreSettings& settings) {
  Options options;
  options.address = settings.address;
  options.watch_silence = settings.watch_silence;
  options.watch_open_deadline = settings.call_deadline;
  options.calls_per_second = settings.calls_per_second;
  options.call_burst = settings.call_burst;
  options.max_queued_calls = settings.max_queued_calls;
  return options;
}

HttpObjectStore::HttpObjectStore(boost::asio::io_context* io, Options options,
                                 Clock clock, MetricsRegistry* metrics)
    : address_(options.address),
      calls_(std::make_shared<StoreCalls>(io, std::move(options),
                                          std::move(clock), metrics)) {}

HttpObjectStore::~HttpObjectStore() { calls_->Stop(); }

bool HttpObjectStore::IsValidRequest(const StoreRequest& request,
                                     const std::string& key) {
  return IsObjectKey(key) && request.body.size() <= kMaxObjectBytes;
}

void HttpObjectStore::Get(const std::string& key, const CallOptions& options,
                          Callback<std::optional<StoredObject>> done) {
  StoreRequest request{"store.get", "GET", "/v1/objects/" + key, {}, ""};
  auto found = Convert<std::optional<StoredObject>>(
      request.step, address_, done,
      [key](StoreReply&& reply) -> std::optional<std::optional<StoredObject>> {
        if (!reply.version) {
          return std::nullopt;
        }
        return StoredObject{key, std::move(reply.body), *reply.version};
      });
  Send(std::move(request), key, options,
       [done, found](Result<StoreReply> result) {
         if (IsOk(result) && ValueOf(result).status == kNotFound) {
           done(std::optional<StoredObject>());
         } else {
           found(std::move(result));
         }
       });
}

void HttpObjectStore::List(const std::string& prefix,
                           const CallOptions& options, Callback<Listing> done) {
  StoreRequest request{
      "store.list", "GET", "/v1/objects?prefix=" + prefix, {}, ""};
  auto reply = Convert<Listing>(
      request.step, address_, std::move(done),
      [](StoreReply&& answer) { return internal::ParseListing(answer.body); });
  // An empty prefix is valid and lists everything.
  Send(std::move(request), prefix.empty() ? "all" : prefix, options,
       std::move(reply));
}

void HttpObjectStore::Put(const std::string& key, const std::string& value,
                          ExpectedVersion expected, const CallOptions& options,
                          Callback<std::uint64_t> done) {
  StoreRequest request{"store.put", "PUT", "/v1/objects/" + key, expected,
                       value};
  auto reply = Convert<std::uint64_t>(
      request.step, address_, std::move(done),
      [](StoreReply&& answer) { return answer.version; });
  Send(std::move(request), key, options, std::move(reply));
}

void HttpObjectStore::Delete(const std::string& key, ExpectedVersion expected,
                             const CallOptions& options, Callback<Unit> done) {
  StoreRequest request{"store.delete", "DELETE", "/v1/objects/" + key, expected,
                       ""};
  auto reply =
      Convert<Unit>(request.step, address_, std::move(done),
                    [](StoreReply&&) { return std::optional<Unit>(Unit{}); });
  Send(std::move(request), key, options, std::move(reply));
}

std::unique_ptr<ObjectStore::Watch> HttpObjectStore::StartWatch(
    const std::string& prefix, std::uint64_t from_version,
    OnWatchEvents on_events, std::function<void(const Error&)> on_end) {
  auto state = std::make_shared<StoreCalls::WatchState>();
  state->on_events = std::move(on_events);
  state->on_end = std::move(on_end);
  StoreRequest request{
      "store.watch",
      "GET",
      "/v1/watch?prefix=" + prefix + "&from=" + std::to_string(from_version),
      {},
      ""};
  calls_->OpenWatch(std::move(request), state);
  return std::make_unique<HttpWatch>(calls_, state);
}

void HttpObjectStore::ListInstances(const CallOptions& options,
                                    Callback<InstanceList> done) {
  StoreRequest request{"store.instances", "GET", "/v1/instances", {}, ""};
  auto reply = Convert<InstanceList>(
      request.step, address_, std::move(done), [](StoreReply&& answer) {
        return internal::ParseInstanceList(answer.body);
      });
  calls_->Submit(std::move(request), options, std::move(reply));
}

void HttpObjectStore::Send(StoreRequest request, const std::string& key,
                           const CallOptions& options,
                           std::function<void(Result<StoreReply>)> done) {
  if (!IsValidRequest(request, key)) {
    calls_->PostError(Error{ErrorCode::kInvalidInput, request.step, address_,
                            kObjectLimitsText},
                      std::move(done));
    return;
  }
  calls_->Submit(std::move(request), options, std::move(done));
}

}  // namespace indigolead
