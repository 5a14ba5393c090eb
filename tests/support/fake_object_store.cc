#include "tests/support/fake_object_store.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;

constexpr char kPeer[] = "fake-store";
constexpr std::size_t kMaxValueBytes = 1U << 20;

Error MakeError(ErrorCode code, const std::string& step,
                const std::string& detail = "") {
  return {code, step, kPeer, detail};
}

}  // namespace

/// One watch, registered with its platform during its lifetime.
class FakeWatch : public ObjectStore::Watch {
 public:
  FakeWatch(FakePlatform* platform, std::string prefix, std::uint64_t from,
            Duration silence, ObjectStore::OnWatchEvents on_events,
            std::function<void(const Error&)> on_end)
      : platform_(platform),
        prefix_(std::move(prefix)),
        from_(from),
        silence_(silence),
        on_events_(std::move(on_events)),
        on_end_(std::move(on_end)),
        alive_(std::make_shared<bool>(true)),
        timer_(*platform->io_) {
    platform_->watches_.insert(this);
    ++platform_->calls_["watch"];
    Post([this] { Open(); });
  }

  ~FakeWatch() override {
    *alive_ = false;
    platform_->watches_.erase(this);
  }

  void Notify() {
    Post([this] { Deliver(); });
  }

  void End(const Error& error) {
    platform_->watches_.erase(this);
    Post([this, error] {
      if (!ended_) {
        ended_ = true;
        on_end_(error);
      }
    });
  }

 private:
  void Post(std::function<void()> function) {
    boost::asio::post(*platform_->io_,
                      [alive = alive_, function = std::move(function)] {
                        if (*alive) {
                          function();
                        }
                      });
  }

  bool Silent() const {
    return platform_->faults_.silence_watches && platform_->Affects(prefix_);
  }

  void Open() {
    const bool affected = platform_->Affects(prefix_);
    if (platform_->down_ || (affected && platform_->faults_.refuse)) {
      End(MakeError(ErrorCode::kUnavailable, "store.watch"));
    } else if (!platform_->table_.HasChangesAfter(from_)) {
      End(MakeError(ErrorCode::kNotFound, "store.watch"));
    } else {
      Deliver();
      CheckSilence(std::chrono::steady_clock::now());
    }
  }

  void Deliver() {
    if (Silent() || ended_) {
      return;
    }
    const auto alive = alive_;
    for (const auto& event : platform_->table_.EventsAfter(from_, prefix_)) {
      from_ = event.version;
      on_events_({event});
      if (!*alive) {
        return;
      }
    }
  }

  /// Ends the watch if nothing arrived for too long since `heard_at`.
  void CheckSilence(std::chrono::steady_clock::time_point heard_at) {
    timer_.expires_after(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            silence_ / 8));
    timer_.async_wait(
        [this, alive = alive_, heard_at](boost::system::error_code ec) {
          if (ec || !*alive || ended_) {
            return;
          }
          const auto now = std::chrono::steady_clock::now();
          if (!Silent()) {
            Deliver();
            if (*alive) {
              CheckSilence(now);
            }
          } else if (now - heard_at > silence_) {
            End(MakeError(ErrorCode::kTimeout, "store.watch"));
          } else {
            CheckSilence(heard_at);
          }
        });
  }

  FakePlatform* platform_;
  std::string prefix_;
  std::uint64_t from_;
  Duration silence_;
  ObjectStore::OnWatchEvents on_events_;
  std::function<void(const Error&)> on_end_;
  std::shared_ptr<bool> alive_;
  boost::asio::steady_timer timer_;
  bool ended_ = false;
};

void FakePlatform::SetFaults(const standins::PlatformFaults& faults) {
  if (faults.stale_reads && !faults_.stale_reads) {
    stale_ = table_;
  }
  faults_ = faults;
}

void FakePlatform::SetDown(bool down) {
  down_ = down;
  if (down) {
    DropWatches();
  }
}

void FakePlatform::DropWatches() {
  const std::set<FakeWatch*> watches = watches_;
  for (auto* watch : watches) {
    watch->End(MakeError(ErrorCode::kUnknownEffect, "store.watch"));
  }
}

void FakePlatform::PutInstance(const InstanceRecord& record) {
  instances_.Put(record, std::chrono::steady_clock::now());
}

std::uint64_t FakePlatform::Poke(const std::string& key,
                                 const std::string& value,
                                 ExpectedVersion expected) {
  const auto outcome = table_.Put(key, value, expected);
  NotifyWatches();
  return outcome.done ? outcome.version : 0;
}

void FakePlatform::NotifyWatches() {
  for (auto* watch : watches_) {
    watch->Notify();
  }
}

FakeObjectStore::FakeObjectStore(boost::asio::io_context* io,
                                 FakePlatform* platform, Duration watch_silence)
    : io_(io),
      platform_(platform),
      watch_silence_(watch_silence),
      alive_(std::make_shared<bool>(true)) {}

FakeObjectStore::~FakeObjectStore() { *alive_ = false; }

void FakeObjectStore::After(Duration delay, std::function<void()> answer) {
  auto guarded = [alive = alive_, answer = std::move(answer)] {
    if (*alive) {
      answer();
    }
  };
  if (delay <= Duration::zero()) {
    boost::asio::post(*io_, std::move(guarded));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(*io_, delay);
  timer->async_wait(
      [timer, guarded = std::move(guarded)](boost::system::error_code ec) {
        if (!ec) {
          guarded();
        }
      });
}

template <typename T>
void FakeObjectStore::Read(const std::string& step, const std::string& key,
                           const CallOptions& options, Callback<T> done,
                           std::function<T()> read) {
  Write<T>(step, key, options, std::move(done),
           [read = std::move(read)]() -> Result<T> { return read(); });
}

template <typename T>
void FakeObjectStore::Write(const std::string& step, const std::string& key,
                            const CallOptions& options, Callback<T> done,
                            std::function<Result<T>()> write) {
  const bool writes = step == "store.put" || step == "store.delete";
  ++platform_->calls_[step.substr(step.find('.') + 1)];
  const auto fail = [this, step, done](ErrorCode code, Duration delay) {
    After(delay, [step, done, code] { done(MakeError(code, step)); });
  };
  if (platform_->down_) {
    fail(ErrorCode::kUnavailable, Duration::zero());
    return;
  }
  const bool affected = platform_->Affects(key);
  const auto& faults = platform_->faults_;
  if (affected && faults.stall) {
    fail(ErrorCode::kTimeout, options.deadline);
    return;
  }
  if (affected && faults.reset) {
    fail(writes ? ErrorCode::kUnknownEffect : ErrorCode::kUnavailable,
         Duration::zero());
    return;
  }
  const Duration slow = affected ? milliseconds(faults.slow_ms) : Duration();
  const bool late = slow >= options.deadline;
  if (late) {
    fail(ErrorCode::kTimeout, options.deadline);
  }
  // A late call still takes effect after its caller has given up.
  After(slow, [this, fail, affected, writes, late, write, done,
               deadline = options.deadline, slow] {
    auto& now = platform_->faults_;
    if (affected && now.refuse) {
      if (!late) {
        fail(ErrorCode::kUnavailable, Duration::zero());
      }
      return;
    }
    const Result<T> result = write();
    platform_->NotifyWatches();
    const bool lost = writes && affected && now.lose_answers > 0;
    if (lost) {
      --now.lose_answers;
    }
    if (late) {
      return;
    }
    if (lost && now.lose_by_silence) {
      fail(ErrorCode::kTimeout, deadline - slow);
    } else if (lost) {
      fail(ErrorCode::kUnknownEffect, Duration::zero());
    } else {
      done(result);
    }
  });
}

void FakeObjectStore::Get(const std::string& key, const CallOptions& options,
                          Callback<std::optional<StoredObject>> done) {
  Read<std::optional<StoredObject>>(
      "store.get", key, options, std::move(done),
      [this, key] { return platform_->ReadTable(key).Get(key); });
}

void FakeObjectStore::List(const std::string& prefix,
                           const CallOptions& options, Callback<Listing> done) {
  Read<Listing>("store.list", prefix, options, std::move(done), [this, prefix] {
    return platform_->ReadTable(prefix).List(prefix);
  });
}

void FakeObjectStore::Put(const std::string& key, const std::string& value,
                          ExpectedVersion expected, const CallOptions& options,
                          Callback<std::uint64_t> done) {
  if (!standins::IsValidKey(key) || value.size() > kMaxValueBytes) {
    After({},
          [done] { done(MakeError(ErrorCode::kInvalidInput, "store.put")); });
    return;
  }
  Write<std::uint64_t>("store.put", key, options, std::move(done),
                       [this, key, value, expected]() -> Result<std::uint64_t> {
                         const auto outcome =
                             platform_->table_.Put(key, value, expected);
                         if (outcome.done) {
                           return outcome.version;
                         }
                         return MakeError(ErrorCode::kConflict, "store.put",
                                          std::to_string(outcome.version));
                       });
}

void FakeObjectStore::Delete(const std::string& key, ExpectedVersion expected,
                             const CallOptions& options, Callback<Unit> done) {
  Write<Unit>("store.delete", key, options, std::move(done),
              [this, key, expected]() -> Result<Unit> {
                const auto outcome = platform_->table_.Delete(key, expected);
                if (outcome.done) {
                  return Unit{};
                }
                return MakeError(ErrorCode::kConflict, "store.delete",
                                 std::to_string(outcome.version));
              });
}

std::unique_ptr<ObjectStore::Watch> FakeObjectStore::StartWatch(
    const std::string& prefix, std::uint64_t from_version,
    ObjectStore::OnWatchEvents on_events,
    std::function<void(const Error&)> on_end) {
  return std::make_unique<FakeWatch>(platform_, prefix, from_version,
                                     watch_silence_, std::move(on_events),
                                     std::move(on_end));
}

void FakeObjectStore::ListInstances(const CallOptions& options,
                                    Callback<InstanceList> done) {
  Read<InstanceList>("store.instances", "", options, std::move(done), [this] {
    return platform_->instances_.Shown(std::chrono::steady_clock::now());
  });
}

}  // namespace indigolead::testing
