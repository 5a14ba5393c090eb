#ifndef INDIGOLEAD_REVIEW_HARNESS_HTTP_H_
#define INDIGOLEAD_REVIEW_HARNESS_HTTP_H_

// Small blocking HTTP/1.1 for the stand-ins of the review cases. It leaves the
// order of bytes on a connection to its user, so that a faulty target can be
// played.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

/// A request or a response.
struct Message {
  std::string first_line;
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (Lower(key) == Lower(name)) {
        return value;
      }
    }
    return "";
  }
  /// Returns a word of the first line, from 0 on.
  std::string Word(std::size_t n) const {
    std::size_t at = 0;
    for (; n > 0; --n) {
      const auto space = first_line.find(' ', at);
      if (space == std::string::npos) {
        return "";
      }
      at = space + 1;
    }
    return first_line.substr(at, first_line.find(' ', at) - at);
  }
  std::string method() const { return Word(0); }
  std::string path() const {
    const std::string target = Word(1);
    return target.substr(0, target.find('?'));
  }
  std::string Query(const std::string& name) const {
    const std::string target = Word(1);
    const auto mark = target.find('?');
    if (mark == std::string::npos) {
      return "";
    }
    std::string query = "&" + target.substr(mark + 1);
    const auto at = query.find("&" + name + "=");
    if (at == std::string::npos) {
      return "";
    }
    const auto begin = at + name.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
  }
  int status() const { return std::atoi(Word(1).c_str()); }
};

/// One TCP connection.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() {
    if (fd_ >= 0) {
      close(fd_);
    }
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Bytes that a faulty server sends late on this connection.
  std::string& late_bytes() { return late_bytes_; }

  void SetTimeout(std::chrono::milliseconds limit) {
    timeval tv{};
    tv.tv_sec = limit.count() / 1000;
    tv.tv_usec = (limit.count() % 1000) * 1000;
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
  }

  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads one message with its body. Returns false if it is not complete.
  bool Read(Message* out) {
    *out = {};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    ParseHead(buffer_.substr(0, end), out);
    buffer_.erase(0, end + 4);
    if (Lower(out->Header("Transfer-Encoding")) == "chunked") {
      return ReadChunks(out);
    }
    const std::string length = out->Header("Content-Length");
    const auto n = static_cast<std::size_t>(std::atoll(length.c_str()));
    while (buffer_.size() < n) {
      if (!Fill()) {
        return false;
      }
    }
    out->body = buffer_.substr(0, n);
    buffer_.erase(0, n);
    return true;
  }

  /// Makes the close send a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd_);
    fd_ = -1;
  }

 private:
  bool Fill() {
    char part[16384];
    const auto n = recv(fd_, part, sizeof(part), 0);
    if (n <= 0) {
      return false;
    }
    buffer_.append(part, static_cast<std::size_t>(n));
    return true;
  }

  static void ParseHead(const std::string& head, Message* out) {
    std::size_t at = head.find("\r\n");
    out->first_line = head.substr(0, at);
    while (at != std::string::npos) {
      const std::size_t begin = at + 2;
      at = head.find("\r\n", begin);
      const std::string line = head.substr(begin, at - begin);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        out->headers.emplace_back(
            line.substr(0, colon),
            value == std::string::npos ? "" : line.substr(value));
      }
    }
  }

  bool ReadChunks(Message* out) {
    for (;;) {
      std::size_t end = 0;
      while ((end = buffer_.find("\r\n")) == std::string::npos) {
        if (!Fill()) {
          return false;
        }
      }
      const auto n = std::strtoul(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      while (buffer_.size() < n + 2) {
        if (!Fill()) {
          return false;
        }
      }
      out->body += buffer_.substr(0, n);
      buffer_.erase(0, n + 2);
      if (n == 0) {
        return true;
      }
    }
  }

  int fd_;
  std::string buffer_;
  std::string late_bytes_;
};

inline sockaddr_in AddressOf(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Returns the connection to a port of 127.0.0.1, or -1.
inline int ConnectTo(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline std::string MakeRequest(const std::string& method,
                               const std::string& target,
                               const Headers& headers,
                               const std::string& body = "") {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!body.empty() || method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

inline std::string MakeResponse(int status, const Headers& headers,
                                const std::string& body = "") {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " S\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Server with a thread for each connection; it runs until the program ends.
class Server {
 public:
  /// Handles one request. Returns false to close the connection.
  using Handler = std::function<bool(Connection*, const Message&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(0);
    bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    listen(fd_, 512);
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }

  void Serve(int fd) {
    Connection connection(fd);
    Message request;
    while (connection.Read(&request)) {
      if (!handler_(&connection, request)) {
        return;
      }
    }
  }

  Handler handler_;
  int fd_ = -1;
  std::uint16_t port_ = 0;
};

/// Returns a port that is free now and was not returned before.
inline std::uint16_t FreePort() {
  static std::set<std::uint16_t> given;
  for (;;) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(0);
    bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    close(fd);
    if (given.insert(ntohs(address.sin_port)).second) {
      return ntohs(address.sin_port);
    }
  }
}

}  // namespace review

#endif  // INDIGOLEAD_REVIEW_HARNESS_HTTP_H_
