// Tests of an entry that gets more new connections than it can serve.

#include <utility>
// Asio of Boost 1.74 needs <utility> before it.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "entry/callers_server.h"
#include "runtime/address.h"
#include "runtime/clock.h"
#include "tests/support/callers_fixture.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = std::chrono::steady_clock::time_point;

/// Callers' server that spends 5 ms of its thread on each request, in small
/// steps, as an entry does that forwards one event after another.
class SlowEntry {
 public:
  SlowEntry() {
    CallersServer::Hooks hooks;
    hooks.submit = [this](std::shared_ptr<const CallerRequest> request) {
      {
        const std::lock_guard lock(mutex_);
        read_at_.emplace(request->body, std::chrono::steady_clock::now());
      }
      asio::post(io_, [this, id = request->id] { Work(id, kSteps); });
      return true;
    };
    hooks.disconnected = [](CallerDisconnected) {};
    hooks.bytes_written = [](AnswerBytesWritten) {};
    hooks.ready = [] { return true; };
    server_ = std::make_unique<CallersServer>(
        &io_, &settings_, std::move(hooks), BootTimeNow, RandomId,
        MakeNullEventLog(), &metrics_);
    server_->OnMessage(CatalogueChanged{
        std::make_shared<const Catalogue>(ExampleRevisions())});
    REQUIRE(IsOk(server_->Start()));
    address_ = server_->bound_address();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~SlowEntry() {
    asio::post(io_, [this] { server_->Stop(); });
    io_.stop();
    thread_.join();
  }

  const std::string& address() const { return address_; }
  bool WasRead(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return read_at_.count(id) > 0;
  }
  std::map<std::string, Time> read_at() {
    const std::lock_guard lock(mutex_);
    return read_at_;
  }

 private:
  static constexpr int kSteps = 10;
  static constexpr microseconds kStep{500};

  void Work(const RequestId& id, int steps) {
    const Time end = std::chrono::steady_clock::now() + kStep;
    while (std::chrono::steady_clock::now() < end) {
    }
    if (steps > 1) {
      asio::post(io_, [this, id, steps] { Work(id, steps - 1); });
    } else {
      server_->OnMessage(AnswerWhole{id, {200, {}, "ok"}});
    }
  }

  EntrySettings settings_;
  MetricsRegistry metrics_;
  asio::io_context io_{1};
  std::unique_ptr<CallersServer> server_;
  std::string address_;
  std::mutex mutex_;
  std::map<std::string, Time> read_at_;  ///< By the request's body.
  std::thread thread_;
};

/// Sends one request on a connection of its own. Gives up if it is not read
/// within a second.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(asio::io_context* io, SlowEntry* entry, std::string id,
         std::set<std::string>* served)
      : socket_(*io),
        timer_(*io),
        entry_(entry),
        id_(std::move(id)),
        served_(served) {}

  void Start() {
    auto self = shared_from_this();
    timer_.expires_after(kReadWithin);
    timer_.async_wait([self](const boost::system::error_code& ec) {
      if (!ec && !self->entry_->WasRead(self->id_)) {
        boost::system::error_code ignored;
        self->socket_.close(ignored);
      }
    });
    const auto endpoint = ValueOf(ParseEndpoint(entry_->address()));
    socket_.async_connect(endpoint,
                          [self](const boost::system::error_code& ec) {
                            if (!ec) {
                              self->Write();
                            }
                          });
  }

 private:
  static constexpr seconds kReadWithin{1};

  void Write() {
    request_ =
        "POST /menu/today HTTP/1.1\r\nHost: entry\r\nConnection: "
        "close\r\nAuthorization: Bearer " +
        std::string(kExampleKey) +
        "\r\nContent-Length: " + std::to_string(id_.size()) + "\r\n\r\n" + id_;
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this()](
                          const boost::system::error_code& ec, std::size_t) {
                        if (!ec) {
                          self->Read();
                        }
                      });
  }
  void Read() {
    asio::async_read_until(
        socket_, answer_, "ok",
        [self = shared_from_this()](const boost::system::error_code& ec,
                                    std::size_t) {
          if (!ec) {
            self->served_->insert(self->id_);
          }
          self->timer_.cancel();
        });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  SlowEntry* entry_;
  std::string id_;
  std::set<std::string>* served_;
  std::string request_;
  asio::streambuf answer_;
};

/// Opens `per_second` new connections for `length`.
std::set<std::string> SendRequests(SlowEntry* entry, int per_second,
                                   milliseconds length) {
  asio::io_context io{1};
  std::set<std::string> served;
  const Time begun_at = std::chrono::steady_clock::now();
  const auto count = static_cast<int>(per_second * length / milliseconds(1000));
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  for (int n = 0; n < count; ++n) {
    timers.push_back(std::make_unique<asio::steady_timer>(
        io, begun_at + length * n / count));
    timers.back()->async_wait([&, n](const boost::system::error_code&) {
      std::make_shared<Caller>(
          &io, entry, std::to_string(per_second) + "-" + std::to_string(n),
          &served)
          ->Start();
    });
  }
  io.run_for(length + seconds(3));
  return served;
}

/// Guards against connections that wait to be accepted until their callers time
/// out, so that the entry spends its time on abandoned requests.
TEST_CASE("An entry serves what it reads while most connections come to it") {
  SlowEntry entry;
  const auto calm = SendRequests(&entry, 60, milliseconds(1000));
  CHECK(calm.size() == entry.read_at().size());

  const Time crowded_at = std::chrono::steady_clock::now();
  const auto served = SendRequests(&entry, 450, milliseconds(6000));
  std::size_t read = 0;
  std::size_t answered = 0;
  for (const auto& [id, at] : entry.read_at()) {
    if (at >= crowded_at + seconds(3)) {
      ++read;
      answered += served.count(id);
    }
  }
  INFO(read << " read, " << answered << " answered");
  CHECK(read > 100);
  CHECK(4 * answered >= 3 * read);
}

}  // namespace
}  // namespace indigolead
