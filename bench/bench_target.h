#ifndef INDIGOLEAD_BENCH_BENCH_TARGET_H_
#define INDIGOLEAD_BENCH_BENCH_TARGET_H_

#include <utility>
// Asio in Boost 1.74 requires <utility> to be included first.
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace indigolead::bench {

/// One connection of a `BenchTarget`.
class BenchTargetSession
    : public std::enable_shared_from_this<BenchTargetSession> {
 public:
  explicit BenchTargetSession(boost::asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(buf_),
        [self = shared_from_this()](const boost::system::error_code& ec,
                                    std::size_t n) {
          if (!ec) {
            self->input_.append(self->buf_.data(), n);
            self->Handle();
          }
        });
  }

 private:
  void Handle() {
    const std::size_t head = input_.find("\r\n\r\n");
    if (head == std::string::npos) {
      Read();
      return;
    }
    const std::size_t body = head + 4;
    const std::size_t length = ContentLength(input_.substr(0, head));
    if (input_.size() < body + length) {
      Read();
      return;
    }
    const std::string request = input_.substr(0, body + length);
    input_.erase(0, body + length);
    if (request.compare(0, 4, "GET ") == 0) {
      WriteResponse(Report(request));
    } else if (request.find("\"stream\":true") != std::string::npos) {
      keep_open_ = request.find("\"hold\":true") != std::string::npos;
      tokens_ =
          std::atoi(request.c_str() + request.find("\"max_tokens\":") + 13);
      Write(
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n",
          [this] { NextToken(); });
    } else {
      WriteResponse("{\"choices\":[{\"text\":\"gel 22\",\"index\":0}]}");
    }
  }

  static std::size_t ContentLength(const std::string& head) {
    for (const char* name : {"Content-Length: ", "content-length: "}) {
      const std::size_t at = head.find(name);
      if (at != std::string::npos) {
        return static_cast<std::size_t>(std::atoi(head.c_str() + at + 16));
      }
    }
    return 0;
  }

  /// Returns the report that an engine gives to its side.
  static std::string Report(const std::string& request) {
    if (request.compare(4, 5, "/load") == 0) {
      return R"({"boot_id":"1","measured_ago_ms":0,"running":0,"waiting":0,)"
             R"("queued_prefill_tokens":0,"kv_used_bytes":0,)"
             R"("kv_capacity_bytes":1000000000000,"slots":20000,)"
             R"("prefill_tokens_per_s":1000000000,)"
             R"("decode_tokens_per_s":1000000000})";
    }
    return R"({"boot_id":"1","role":"mixed","model":"bench","version":"1",)"
           R"("adapters":[],"fencing_number":0,"generation":0,)"
           R"("changing":false,"checks_fencing":true})";
  }

  void WriteResponse(const std::string& body) {
    Write(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body,
        [this] { Read(); });
  }

  void NextToken() {
    if (tokens_-- > 0) {
      WriteToken();
    } else if (!keep_open_) {
      Write("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", [this] { Read(); });
    } else {
      Read();
    }
  }

  void WriteToken() {
    static const std::string kChunk =
        "25\r\ndata: {\"choices\":[{\"text\":\" gel\"}]}\n\n\r\n";
    socket_.async_write_some(
        boost::asio::buffer(kChunk),
        [self = shared_from_this()](const boost::system::error_code& ec,
                                    std::size_t n) {
          if (!ec && n == kChunk.size()) {
            self->NextToken();
          }
        });
  }

  void Write(std::string data, std::function<void()> then) {
    output_ = std::move(data);
    boost::asio::async_write(
        socket_, boost::asio::buffer(output_),
        [self = shared_from_this(), then = std::move(then)](
            const boost::system::error_code& ec, std::size_t) {
          if (!ec) {
            then();
          }
        });
  }

  boost::asio::ip::tcp::socket socket_;
  std::array<char, 2048> buf_;
  std::string input_;
  std::string output_;
  int tokens_ = 0;
  bool keep_open_ = false;
};

/// Target that does no work, so that a benchmark measures only the path.
///
/// Answers a POST with a small JSON body. If the request body contains
/// `"stream":true`, it sends `"max_tokens"` server-sent events, each in its own
/// write; with `"hold":true` the stream never ends.
class BenchTarget {
 public:
  BenchTarget()
      : work_(boost::asio::make_work_guard(io_)),
        acceptor_(io_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
    thread_ = std::thread([this] {
      pthread_setname_np(pthread_self(), "bench-target");
      io_.run();
    });
  }
  ~BenchTarget() {
    io_.stop();
    thread_.join();
  }
  BenchTarget(const BenchTarget&) = delete;
  BenchTarget& operator=(const BenchTarget&) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& ec,
                                  boost::asio::ip::tcp::socket socket) {
      if (!ec) {
        socket.set_option(boost::asio::ip::tcp::no_delay(true));
        std::make_shared<BenchTargetSession>(std::move(socket))->Read();
      }
      Accept();
    });
  }

  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace indigolead::bench

#endif  // INDIGOLEAD_BENCH_BENCH_TARGET_H_
