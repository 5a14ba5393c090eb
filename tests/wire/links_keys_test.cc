#include <unistd.h>
#include <zmq.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "runtime/clock.h"
#include "wire/key_files.h"
#include "wire/links.h"

namespace indigolead {
namespace {

using namespace std::chrono_literals;

struct KeyPair {
  std::string public_key;
  std::string secret_key;
};

KeyPair MakeKeyPair() {
  std::array<char, 41> public_key{};
  std::array<char, 41> secret_key{};
  REQUIRE(zmq_curve_keypair(public_key.data(), secret_key.data()) == 0);
  return {public_key.data(), secret_key.data()};
}

/// Key files of one process, deleted by the destructor.
class KeyFiles {
 public:
  KeyFiles(const KeyPair& own, const std::string& trusted)
      : folder_(std::filesystem::temp_directory_path() /
                ("keys-" + ToHex(RandomId()))) {
    std::filesystem::create_directory(folder_);
    Write("public", own.public_key);
    Write("secret", own.secret_key);
    Write("trusted", trusted);
  }
  ~KeyFiles() { std::filesystem::remove_all(folder_); }

  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(folder_ / name) << text << '\n';
  }
  std::string Path(const std::string& name) const { return folder_ / name; }

 private:
  std::filesystem::path folder_;
};

/// Links of one process with the given keys; counts the links that come up.
struct Node {
  Node(boost::asio::io_context* io, const std::string& name,
       const KeyFiles& files) {
    Links::Options options;
    options.bind_address = "127.0.0.1:0";
    options.heartbeat_interval = 50ms;
    options.public_key_file = files.Path("public");
    options.secret_key_file = files.Path("secret");
    options.trusted_keys_file = files.Path("trusted");
    Links::Hooks hooks;
    hooks.make_hello = [name] {
      wire::Hello hello;
      hello.set_instance(name);
      hello.set_incarnation(std::string(16, name.back()));
      return hello;
    };
    hooks.on_up = [this](LinkId, const wire::Hello&) { ++up; };
    hooks.on_down = [](LinkId, const Error&) {};
    hooks.on_message = [](LinkId, wire::Envelope&&) {};
    const EventLog log = [this](const EventInfo& event,
                                const EventFields& fields) {
      logged += FormatEvent(event, fields) + "\n";
    };
    links = std::make_unique<Links>(
        io, options, hooks, [this] { return BootTimeNow() + clock_offset; },
        RandomId, log, &metrics);
    started = links->Start();
  }

  int up = 0;
  std::string logged;
  Duration clock_offset = 0s;
  MetricsRegistry metrics;
  std::unique_ptr<Links> links;
  Status started;
};

template <typename Done>
bool RunUntil(boost::asio::io_context* io, Done done) {
  const TimePoint limit = BootTimeNow() + 20s;
  while (!done() && BootTimeNow() < limit) {
    io->run_one_for(10ms);
  }
  return done();
}

TEST_CASE("Encrypted links accept only trusted peers") {
  boost::asio::io_context io;
  const KeyPair fleet = MakeKeyPair();
  const KeyPair untrusted = MakeKeyPair();
  KeyFiles fleet_files(fleet, fleet.public_key);
  Node server(&io, "entry-1", fleet_files);
  REQUIRE(IsOk(server.started));

  SECTION("a peer with the trusted key gets a link") {
    Node client(&io, "side-1", fleet_files);
    client.links->Connect(server.links->bound_address());
    CHECK(RunUntil(&io, [&] { return client.up == 1 && server.up == 1; }));
  }

  SECTION(
      "an untrusted peer is refused and logged, and accepted once trusted") {
    KeyFiles files(untrusted, fleet.public_key);
    Node client(&io, "side-2", files);
    client.links->Connect(server.links->bound_address());
    REQUIRE(RunUntil(&io, [&] {
      return server.logged.find("link-refused") != std::string::npos;
    }));
    CHECK(server.up == 0);
    CHECK(client.up == 0);

    fleet_files.Write("trusted",
                      fleet.public_key + "\n" + untrusted.public_key);
    server.clock_offset = 10s;
    CHECK(RunUntil(&io, [&] { return client.up == 1 && server.up == 1; }));
    CHECK(server.logged.find("keys-reloaded") != std::string::npos);
  }

  SECTION("a dial that fails with one trusted key tries the next") {
    KeyFiles files(fleet, untrusted.public_key + "\n" + fleet.public_key);
    Node client(&io, "side-3", files);
    client.links->Connect(server.links->bound_address());
    CHECK(RunUntil(&io, [&] { return client.up == 1; }));
  }

  SECTION("an invalid file keeps the current keys, and the log shows no key") {
    fleet_files.Write("trusted", fleet.secret_key + "x");
    server.clock_offset = 10s;
    REQUIRE(RunUntil(&io, [&] {
      return server.logged.find("keys-not-reloaded") != std::string::npos;
    }));
    CHECK(server.logged.find(fleet.secret_key.substr(0, 8)) ==
          std::string::npos);
  }
}

TEST_CASE("Links do not start with invalid key files") {
  boost::asio::io_context io;
  const KeyPair fleet = MakeKeyPair();
  KeyFiles files(fleet, fleet.public_key);

  SECTION("a missing secret key file") {
    std::filesystem::remove(files.Path("secret"));
    CHECK_FALSE(IsOk(Node(&io, "entry-1", files).started));
  }
  SECTION("a public key that does not match the secret key") {
    files.Write("public", MakeKeyPair().public_key);
    CHECK_FALSE(IsOk(Node(&io, "entry-1", files).started));
  }
  SECTION("a list of trusted keys without a key") {
    files.Write("trusted", "# nobody");
    CHECK_FALSE(IsOk(Node(&io, "entry-1", files).started));
  }
}

}  // namespace
}  // namespace indigolead
