// A request that lies in the body of another one must not run.

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "../harness-2/scene.h"

namespace review {
namespace {

constexpr int kRequests = 10;
constexpr Milliseconds kAnswerTimeout{2000};

Headers CallerHeaders(const std::string& id) {
  return {{"Host", "shop.example"},
          {"X-Request-Id", id},
          {"X-Deadline-Ms", "1500"}};
}

/// Returns a request whose body is `body`. In trouble its transfer coding is
/// one that does not tell where the body ends.
std::string OuterRequest(const std::string& id, const std::string& body) {
  std::string text = "POST /menu/outer HTTP/1.1\r\n";
  for (const auto& [name, value] : CallerHeaders(id)) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (HasTrouble()) {
    return text + "Transfer-Encoding: gzip\r\n\r\n" + body;
  }
  char size[32];
  std::snprintf(size, sizeof(size), "%zx", body.size());
  return text + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + body +
         "\r\n0\r\n\r\n";
}

int Run(const std::string& record_path) {
  Record record(record_path);
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < 2; ++n) {
    workers.push_back(std::make_unique<Worker>(
        "worker-" + std::to_string(n), "app", &record,
        [](Connection& connection, const Request& request) {
          connection.Write(
              FormatResponse(200,
                             {{"X-Request-Id", request.Get("X-Request-Id")},
                              {"X-Response-Signature", "signed"}},
                             "done"));
        }));
    store.Put("servers", workers.back()->id(), workers.back()->Registration());
  }
  store.Put("config", "main",
            MakeConfiguration({MakeRoute("menu", "/menu/", "unsafe", "app")},
                              {"app"}, 16384));
  Entry entry("front-1", "127.0.0.1", store.address());
  entry.AwaitReady();

  for (int n = 0; n < kRequests; ++n) {
    const std::string outer = "outer-" + std::to_string(n);
    const std::string inner = "inner-" + std::to_string(n);
    Connection client(entry.address());
    record.Line(std::string("client sends ")
                    .append(outer)
                    .append("; its body is the text of ")
                    .append(inner));
    client.Write(OuterRequest(
        outer,
        FormatRequest("POST", "/menu/inner", CallerHeaders(inner), "order")));
    // A second answer shows that the body was taken for a request.
    for (int answers = 0; answers < 2; ++answers) {
      const auto response = client.ReadResponse(
          answers == 0 ? kAnswerTimeout : Milliseconds(300));
      if (!response) {
        break;
      }
      record.Line("client gets " + std::to_string(response->status) + " for " +
                  response->Get("X-Request-Id"));
    }
  }

  int smuggled = 0;
  int sent = 0;
  for (const auto& worker : workers) {
    for (const auto& [id, runs] : worker->runs()) {
      (id.rfind("inner-", 0) == 0 ? smuggled : sent) += runs;
    }
  }
  record.Line(
      std::to_string(sent) + " runs of requests that the client sent, " +
      std::to_string(smuggled) + " runs of requests that lay in their bodies");
  return smuggled > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) { return argc == 2 ? review::Run(argv[1]) : 2; }
