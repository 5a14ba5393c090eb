#include "tests/support/store_fixture.h"

#include <nlohmann/json.hpp>

#include "platform/object_store.h"
#include "runtime/clock.h"
#include "store/http_object_store.h"
#include "tests/platform/support/metadata_store.h"
#include "tests/support/fake_object_store.h"

namespace indigolead::testing {
namespace {

constexpr std::chrono::seconds kGenerousBound{30};
constexpr std::chrono::milliseconds kStep{5};

class FakeStoreFixture : public StoreFixture {
 public:
  ObjectStore& store() override { return store_; }
  void SetFaults(const standins::PlatformFaults& faults) override {
    platform_.SetFaults(faults);
  }
  void SetDown(bool down) override { platform_.SetDown(down); }
  void DropWatches() override { platform_.DropWatches(); }
  void PutInstance(const InstanceRecord& record) override {
    platform_.PutInstance(record);
  }
  std::optional<StoredObject> Peek(const std::string& key) override {
    return platform_.Peek(key);
  }
  std::uint64_t Poke(const std::string& key, const std::string& value,
                     ExpectedVersion expected) override {
    return platform_.Poke(key, value, expected);
  }

 private:
  FakePlatform platform_{&io_};
  FakeObjectStore store_{&io_, &platform_, kWatchSilence};
};

class HttpStoreFixture : public StoreFixture {
 public:
  ObjectStore& store() override { return store_; }
  void SetFaults(const standins::PlatformFaults& faults) override {
    platform_.SetFaults(faults);
  }
  void SetDown(bool down) override { platform_.SetDown(down); }
  void DropWatches() override { platform_.DropWatches(); }
  void PutInstance(const InstanceRecord& record) override {
    platform_.PutInstance(record);
  }
  std::optional<StoredObject> Peek(const std::string& key) override {
    return platform_.Peek(key);
  }
  std::uint64_t Poke(const std::string& key, const std::string& value,
                     ExpectedVersion expected) override {
    return platform_.Poke(key, value, expected);
  }

 private:
  HttpObjectStore::Options Options() {
    HttpObjectStore::Options options;
    options.address = platform_.address();
    options.watch_silence = kWatchSilence;
    return options;
  }

  standins::PlatformServer platform_;
  MetricsRegistry metrics_;
  HttpObjectStore store_{&io_, Options(), BootTimeNow, &metrics_};
};

class PlatformStoreFixture : public StoreFixture {
 public:
  ObjectStore& store() override { return store_; }
  void SetFaults(const standins::PlatformFaults& faults) override {
    platform_.SetFaults(faults);
  }
  void SetDown(bool down) override { platform_.SetDown(down); }
  void DropWatches() override { platform_.DropWatches(); }
  void PutInstance(const InstanceRecord& /*record*/) override {}
  std::optional<StoredObject> Peek(const std::string& key) override {
    const Key it = Split(key);
    const auto spec = platform_.Get(it.kind, it.name);
    if (spec.is_null()) {
      return std::nullopt;
    }
    return StoredObject{key, spec.get<std::string>(),
                        platform_.RevisionOf(it.kind, it.name)};
  }
  std::uint64_t Poke(const std::string& key, const std::string& value,
                     ExpectedVersion expected) override {
    const Key it = Split(key);
    if (platform_.RevisionOf(it.kind, it.name) != expected) {
      return 0;
    }
    platform_.Put(it.kind, it.name, value);
    return platform_.RevisionOf(it.kind, it.name);
  }

 private:
  struct Key {
    std::string kind;
    std::string name;
  };

  static Key Split(const std::string& key) {
    const auto slash = key.find('/');
    return slash == std::string::npos
               ? Key{key, "main"}
               : Key{key.substr(0, slash), key.substr(slash + 1)};
  }

  platform::PlatformObjectStore::Options Options() {
    platform::PlatformObjectStore::Options options;
    options.address = platform_.address();
    options.watch_wait = kWatchSilence / 2;
    options.watch_slack = kWatchSilence / 2;
    return options;
  }

  MetadataStore platform_;
  MetricsRegistry metrics_;
  platform::PlatformObjectStore store_{&io_, Options(), BootTimeNow, &metrics_};
};

}  // namespace

bool StoreFixture::RunUntil(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kGenerousBound;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    io_.restart();
    io_.run_one_for(kStep);
  }
  return true;
}

std::unique_ptr<StoreFixture> MakeStoreFixture(const std::string& kind) {
  if (kind == "http") {
    return std::make_unique<HttpStoreFixture>();
  }
  if (kind == "platform") {
    return std::make_unique<PlatformStoreFixture>();
  }
  return std::make_unique<FakeStoreFixture>();
}

}  // namespace indigolead::testing
