#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "core/control/lease.h"
#include "core/control/orders.h"
#include "tests/support/http_call.h"
#include "tests/support/process.h"
#include "tests/support/scratch_folder.h"

namespace indigolead {
namespace {

namespace fs = std::filesystem;
using testing::HttpCall;
using testing::Process;
using testing::WaitUntil;

std::string WriteSettings(const std::string& path, const std::string& name,
                          const std::string& rest) {
  std::ofstream(path) << "[instance]\nname = " << name
                      << "\nfailure_domain = bilbao-a\nregion = norte\n"
                      << rest;
  return path;
}

std::string LinkIn(const std::string& line) {
  const std::size_t at = line.find("link=") + 5;
  return line.substr(at, line.find_first_of(" \r\n", at) - at);
}

/// The store as the test reads it.
struct Store {
  std::string address;

  std::string Value(const std::string& key) const {
    const auto answer = HttpCall(address, "GET", "/v1/objects/" + key);
    return answer.status == 200 ? answer.body : "";
  }
  std::string Holder() const {
    const auto lease = DecodeLease(Value("control/lease"), 1);
    return IsOk(lease) ? ValueOf(lease).holder : "";
  }
  FencingNumber Number() const {
    const auto answer = HttpCall(address, "GET", "/v1/objects/control/lease");
    const std::string version = answer.Header("X-Version");
    const auto lease =
        DecodeLease(answer.body, version.empty() ? 0 : std::stoull(version));
    return IsOk(lease) ? ValueOf(lease).fencing_number : 0;
  }
};

Process StartEntry(const testing::ScratchFolder& folder,
                   const std::string& name, const std::string& store) {
  return Process("indigolead",
                 {"entry", "--settings",
                  WriteSettings(folder.Sub(name + ".ini"), name,
                                "[store]\naddress = " + store + "\n")});
}

// Two entries, one side. One entry takes the lease and writes an order for the
// side's engine. It is killed without releasing the lease. After the lease
// expires, the other entry takes over with a greater fencing number and
// rewrites the same order under that number, not a different one.
TEST_CASE("A killed controller is replaced, and the order stays the same") {
  const testing::ScratchFolder folder;
  fs::copy(INDIGOLEAD_SOURCE_DIR "/examples/unas-del-norte",
           folder.Sub("declarations"));
  Process platform("indigolead-standin", {"platform"});
  Process engine("indigolead-standin",
                 {"engine", "--model=tarifa", "--model_version=3"});
  const Store store{platform.WaitForAddress()};
  Process first = StartEntry(folder, "entry-1", store.address);
  const std::string first_link = LinkIn(first.WaitForAddress());
  REQUIRE(WaitUntil([&] { return store.Holder() == "entry-1"; }));
  const FencingNumber number = store.Number();
  Process second = StartEntry(folder, "entry-2", store.address);
  const std::string second_link = LinkIn(second.WaitForAddress());
  Process side(
      "indigolead",
      {"side", "--settings",
       WriteSettings(folder.Sub("side.ini"), "side-1",
                     "[links]\nseeds = " + first_link + "," + second_link +
                         "\n[side]\ndeployment = tarifa-llm\n"
                         "target_address = " +
                         engine.WaitForAddress() + "\n")});
  side.WaitForAddress();
  Process apply("indigolead", {"apply", folder.Sub("declarations"),
                               "--store=" + store.address});
  REQUIRE(apply.WaitForExit(std::chrono::seconds(30)) == 0);
  const auto order = [&] {
    return DecodeOrder(store.Value("control/orders/side-1"));
  };
  REQUIRE(WaitUntil([&] { return IsOk(order()); }));
  const TargetOrder before = ValueOf(order());
  CHECK(before.fencing_number == number);

  first.Kill();
  REQUIRE(WaitUntil([&] { return store.Holder() == "entry-2"; }));
  CHECK(store.Number() > number);
  REQUIRE(WaitUntil([&] {
    return IsOk(order()) && ValueOf(order()).fencing_number == store.Number();
  }));
  CHECK(ValueOf(order()).generation == before.generation);
  CHECK(ValueOf(order()).desired == before.desired);
  CHECK(WaitUntil([&] {
    return store.Value("applied/entry-2").find("tarifa-llm") !=
           std::string::npos;
  }));

  // A planned stop releases the lease at once.
  second.Terminate();
  CHECK(second.WaitForExit(std::chrono::seconds(30)) == 0);
  INFO(second.output());
  CHECK(store.Holder() == "");
}

}  // namespace
}  // namespace indigolead
