#include "tests/support/scripted_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <stdexcept>

namespace indigolead {
namespace {

/// Waits until `fd` is readable; returns false once `stop` is.
bool WaitReadable(int fd, int stop) {
  pollfd fds[2] = {{fd, POLLIN, 0}, {stop, POLLIN, 0}};
  while (poll(fds, 2, -1) < 0 && errno == EINTR) {
  }
  return fds[1].revents == 0;
}

std::size_t BodyLength(const std::string& head) {
  const auto at = head.find("Content-Length: ");
  return at == std::string::npos ? 0
                                 : std::strtoul(&head[at + 16], nullptr, 10);
}

}  // namespace

ScriptedServer::ScriptedServer(std::vector<std::vector<ScriptStep>> scripts)
    : scripts_(std::move(scripts)),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      stop_event_(eventfd(0, EFD_CLOEXEC)) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(name);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&name), length) != 0 ||
      listen(listener_, SOMAXCONN) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &length) !=
          0) {
    throw std::runtime_error("scripted server: cannot listen");
  }
  port_ = ntohs(name.sin_port);
  accepting_ = std::thread([this] { Accept(); });
}

ScriptedServer::~ScriptedServer() {
  stopping_ = true;
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto n = write(stop_event_, &one, sizeof(one));
  accepting_.join();
  for (auto& it : serving_) {
    it.join();
  }
  close(listener_);
  close(stop_event_);
}

std::string ScriptedServer::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

std::vector<std::string> ScriptedServer::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

void ScriptedServer::Accept() {
  while (WaitReadable(listener_, stop_event_)) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) {
      ++connections_;
      serving_.emplace_back([this, fd] { Serve(fd); });
    }
  }
}

void ScriptedServer::Serve(int fd) {
  bool open = true;
  std::string request;
  while (open && ReadRequest(fd, &request)) {
    std::size_t number = 0;
    {
      const std::lock_guard lock(mutex_);
      number = requests_.size();
      requests_.push_back(request);
    }
    Play(fd, scripts_[std::min(number, scripts_.size() - 1)], &open);
  }
  close(fd);
}

bool ScriptedServer::ReadRequest(int fd, std::string* request) {
  request->clear();
  while (WaitReadable(fd, stop_event_)) {
    char buf[4096];
    const auto n = recv(fd, buf, sizeof(buf), 0);
    if (n <= 0) {
      return false;
    }
    request->append(buf, static_cast<std::size_t>(n));
    const auto head_end = request->find("\r\n\r\n");
    if (head_end != std::string::npos &&
        request->size() >= head_end + 4 + BodyLength(*request)) {
      return true;
    }
  }
  return false;
}

void ScriptedServer::Play(int fd, const std::vector<ScriptStep>& script,
                          bool* open) {
  for (const auto& it : script) {
    switch (it.kind) {
      case ScriptStep::Kind::kSend:
        send(fd, it.data.data(), it.data.size(), MSG_NOSIGNAL);
        break;
      case ScriptStep::Kind::kReset: {
        const linger now{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        *open = false;
        return;
      }
      case ScriptStep::Kind::kPause:
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        break;
      case ScriptStep::Kind::kShortPause:
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        break;
      case ScriptStep::Kind::kClose:
        *open = false;
        return;
      case ScriptStep::Kind::kSleep:
        WaitReadable(stop_event_, stop_event_);
        *open = false;
        return;
    }
  }
}

}  // namespace indigolead
