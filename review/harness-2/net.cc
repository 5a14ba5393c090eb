#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadBytes = 16U << 10;

sockaddr_in ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

/// Returns a socket bound to `ip` and its address; port 0 picks a free one.
std::pair<int, std::string> Bind(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ParseAddress(ip + ":" + std::to_string(port));
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  socklen_t length = sizeof(address);
  if (fd < 0 ||
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    std::perror("bind");
    std::exit(2);
  }
  return {fd, ip + ":" + std::to_string(ntohs(address.sin_port))};
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && text.back() == ' ') {
    text.remove_suffix(1);
  }
  return text;
}

void AppendHeaders(const Headers& headers, std::string_view body,
                   std::string* out) {
  for (const auto& [name, value] : headers) {
    out->append(name).append(": ").append(value).append("\r\n");
  }
  *out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  out->append(body);
}

}  // namespace

std::string FindHeader(const Headers& headers, std::string_view name) {
  for (const auto& [held, value] : headers) {
    if (held.size() == name.size() &&
        strncasecmp(held.data(), name.data(), name.size()) == 0) {
      return value;
    }
  }
  return "";
}

Connection::Connection(const std::string& address)
    : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in to = ParseAddress(address);
  if (connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd_);
    fd_ = -1;
    return;
  }
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

bool Connection::Write(std::string_view data) {
  while (fd_ >= 0 && !data.empty()) {
    const auto n = send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    data.remove_prefix(static_cast<std::size_t>(n));
  }
  return fd_ >= 0;
}

bool Connection::Fill(std::optional<Clock::time_point> until) {
  if (fd_ < 0) {
    return false;
  }
  if (until) {
    const auto left =
        std::chrono::duration_cast<Milliseconds>(*until - Clock::now());
    pollfd waited{fd_, POLLIN, 0};
    if (left.count() <= 0 ||
        poll(&waited, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
  }
  char part[kReadBytes];
  const auto n = recv(fd_, part, sizeof(part), 0);
  if (n <= 0) {
    return false;
  }
  buffer_.append(part, static_cast<std::size_t>(n));
  return true;
}

std::optional<std::string> Connection::ReadLine(
    std::optional<Clock::time_point> until) {
  auto end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(until)) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n");
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

bool Connection::ReadHeaders(Headers* headers,
                             std::optional<Clock::time_point> until) {
  while (true) {
    const auto line = ReadLine(until);
    if (!line) {
      return false;
    }
    if (line->empty()) {
      return true;
    }
    const auto colon = line->find(':');
    if (colon == std::string::npos) {
      return false;
    }
    std::string_view value = *line;
    value.remove_prefix(colon + 1);
    headers->emplace_back(line->substr(0, colon), std::string(Trim(value)));
  }
}

bool Connection::ReadBody(const Headers& headers, bool until_close,
                          std::optional<Clock::time_point> until,
                          std::string* body) {
  if (strcasecmp(FindHeader(headers, "Transfer-Encoding").c_str(), "chunked") ==
      0) {
    while (true) {
      const auto line = ReadLine(until);
      if (!line) {
        return false;
      }
      const auto size =
          static_cast<std::size_t>(std::strtoull(line->c_str(), nullptr, 16));
      while (buffer_.size() < size + 2) {
        if (!Fill(until)) {
          body->append(buffer_, 0, size);
          return false;
        }
      }
      body->append(buffer_, 0, size);
      buffer_.erase(0, size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const std::string length = FindHeader(headers, "Content-Length");
  if (length.empty() && until_close) {
    while (Fill(until)) {
    }
    body->swap(buffer_);
    return true;
  }
  const std::size_t size = length.empty()
                               ? 0
                               : static_cast<std::size_t>(std::strtoull(
                                     length.c_str(), nullptr, 10));
  while (buffer_.size() < size) {
    if (!Fill(until)) {
      body->swap(buffer_);
      return false;
    }
  }
  *body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool Connection::ReadRequest(Request* request) {
  *request = {};
  const auto line = ReadLine(std::nullopt);
  if (!line) {
    return false;
  }
  const auto first = line->find(' ');
  const auto second = line->rfind(' ');
  if (first == std::string::npos || second == first) {
    return false;
  }
  request->method = line->substr(0, first);
  request->target = line->substr(first + 1, second - first - 1);
  return ReadHeaders(&request->headers, std::nullopt) &&
         ReadBody(request->headers, /*until_close=*/false, std::nullopt,
                  &request->body);
}

std::optional<Response> Connection::ReadResponse(Milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  Response response;
  const auto line = ReadLine(until);
  if (!line || line->size() < 12) {
    return std::nullopt;
  }
  response.status = std::atoi(line->c_str() + 9);
  if (!ReadHeaders(&response.headers, until)) {
    return std::nullopt;
  }
  response.complete =
      ReadBody(response.headers, /*until_close=*/true, until, &response.body);
  return response;
}

bool Connection::PeerClosed() {
  char byte = 0;
  const auto n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Reset() {
  if (fd_ < 0) {
    return;
  }
  const linger at_once{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(fd_);
  fd_ = -1;
}

void Connection::Shutdown() { shutdown(fd_, SHUT_RDWR); }

Server::Server(Handler handler, int port) : handler_(std::move(handler)) {
  std::tie(fd_, address_) = Bind("127.0.0.1", port);
  listen(fd_, SOMAXCONN);
  acceptor_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  stopped_ = true;
  shutdown(fd_, SHUT_RDWR);
  acceptor_.join();
  close(fd_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const Peer& it : peers_) {
      it.connection->Shutdown();
    }
  }
  for (Peer& it : peers_) {
    it.thread.join();
  }
}

void Server::Accept() {
  while (!stopped_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(mutex_);
    Peer& peer = peers_.emplace_back();
    peer.connection = std::make_unique<Connection>(fd);
    peer.thread = std::thread([this, &peer] {
      handler_(*peer.connection);
      // The peer must see the end although the object lives on.
      peer.connection->Shutdown();
    });
  }
}

std::string FreeAddress(const std::string& ip) {
  const auto [fd, address] = Bind(ip, 0);
  close(fd);
  return address;
}

std::string FormatResponse(int status, const Headers& headers,
                           std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  AppendHeaders(headers, body, &text);
  return text;
}

std::string FormatRequest(const std::string& method, const std::string& target,
                          const Headers& headers, std::string_view body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  AppendHeaders(headers, body, &text);
  return text;
}

Record::Record(const std::string& path) : path_(path) {
  std::ofstream(path_, std::ios::trunc);
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto ms =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - start_);
  std::ofstream out(path_, std::ios::app);
  out << ms.count() << " ms  " << text << "\n";
}

}  // namespace review
