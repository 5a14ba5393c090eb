#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "tests/platform/support/platform_scene.h"
#include "tests/support/raw_client.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Socket of another process that listens at an address and never answers.
class OtherListener {
 public:
  explicit OtherListener(const std::string& address)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int yes = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(static_cast<std::uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1))));
    REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0);
    REQUIRE(listen(fd_, 1) == 0);
  }
  ~OtherListener() { close(fd_); }
  OtherListener(const OtherListener&) = delete;
  OtherListener& operator=(const OtherListener&) = delete;

 private:
  int fd_;
};

/// Returns the number of descriptors that process `pid` has open.
rlim_t OpenDescriptors(pid_t pid) {
  const std::filesystem::directory_iterator open("/proc/" +
                                                 std::to_string(pid) + "/fd");
  return static_cast<rlim_t>(std::distance(begin(open), end(open)));
}

/// Sets the number of descriptors that process `pid` may have open.
void LimitDescriptors(pid_t pid, rlim_t n) {
  rlimit limit{};
  REQUIRE(prlimit(pid, RLIMIT_NOFILE, nullptr, &limit) == 0);
  limit.rlim_cur = n;
  REQUIRE(prlimit(pid, RLIMIT_NOFILE, &limit, nullptr) == 0);
}

/// Returns the processor time that process `pid` has used.
milliseconds ProcessorTime(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  std::int64_t ticks = 0;
  // Fields 14 and 15 are the time in the process and in the kernel.
  for (int field = 1; field <= 15 && in >> word; ++field) {
    ticks += field >= 14 ? std::stoll(word) : 0;
  }
  return milliseconds(1000 * ticks / sysconf(_SC_CLK_TCK));
}

// Guards against an entry that ends because an earlier process, or a connection
// that was given its port, holds an address for a moment at the start.
TEST_CASE("An entry waits for an address that is in use at its start") {
  PlatformScene scene;
  const bool callers = GENERATE(true, false);
  CAPTURE(callers);
  scene.entry->Kill();
  {
    const OtherListener other(callers ? scene.callers_address
                                      : scene.ready_address);
    scene.StartEntry();
    CHECK_FALSE(scene.entry->WaitForExit(seconds(1)));
  }
  CHECK(WaitUntil([&] { return scene.Ready(); }, seconds(10)));
  CHECK(scene.Send("GET", "/desk/1", "r-1").status == 200);

  SECTION("and ends in order when it is told to while it waits") {
    scene.entry->Kill();
    const OtherListener other(callers ? scene.callers_address
                                      : scene.ready_address);
    scene.StartEntry();
    CHECK_FALSE(scene.entry->WaitForExit(seconds(1)));
    scene.entry->Terminate();
    CHECK(scene.entry->WaitForExit(seconds(8)) == 0);
  }
}

/// Lines that spoil a setting, or add one that is not known.
constexpr const char* kSpoiledSettings[] = {
    "port-range=",
    "ip=",
    "ip=here\nport-range=7380",
    "limits.max-fds=unlimited",
    "limits.max-fds=100",
    "limits.cpu-share=1,2",
    "bounds.grace-s=",
    "bounds.retry-slack=many",
    "heartbeat-ms=-1",
    "cloud.duties=usage_report\ncloud.address=",
    "cloud.duties=usage_report\ncloud.address=nowhere",
    "zone=",
    "region=",
    "this is no field",
    "new.field=1,2\r\nother=\r"};

// Guards against a start that fails for the sake of a setting that the entry
// can do without.
TEST_CASE("An entry starts without settings that it can do without") {
  PlatformScene scene;
  const std::string path = std::getenv("INDIGOLEAD_BOOT");
  std::stringstream sound;
  sound << std::ifstream(path).rdbuf();
  for (const char* more : kSpoiledSettings) {
    CAPTURE(more);
    scene.entry->Kill();
    std::ofstream(path) << sound.str() << more << "\n";
    scene.StartEntry();
    CHECK(WaitUntil([&] { return scene.Ready() || !scene.entry->running(); },
                    seconds(10)));
    INFO(scene.entry->output());
    CHECK(scene.entry->running());
    CHECK(scene.Send("GET", "/desk/1", "r-1").status == 200);
  }
}

// Guards against a loop of failed accepts that takes the whole processor while
// the process has no descriptor left.
TEST_CASE("An entry without a free descriptor rests and recovers") {
  PlatformScene scene;
  const pid_t pid = scene.entry->pid();
  const bool callers = GENERATE(true, false);
  CAPTURE(callers);
  std::this_thread::sleep_for(seconds(1));
  LimitDescriptors(pid, OpenDescriptors(pid));
  std::deque<RawClient> waiting;
  for (int n = 0; n < 4; ++n) {
    waiting.emplace_back(callers ? scene.callers_address : scene.ready_address);
  }
  const milliseconds before = ProcessorTime(pid);
  std::this_thread::sleep_for(seconds(2));
  CHECK(ProcessorTime(pid) - before < milliseconds(500));
  CHECK(scene.entry->running());
  waiting.clear();
  LimitDescriptors(pid, 500);
  CHECK(WaitUntil([&] { return scene.Ready(); }, seconds(10)));
  CHECK(scene.Send("GET", "/desk/1", "r-1").status == 200);
}

}  // namespace
}  // namespace indigolead::testing
