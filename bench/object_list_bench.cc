// Measures the reading of a list of 5,000 sound targets in pages of the store's
// size: object by object, and parsed as whole documents whose values are copied
// and printed, which it replaced. The two take turns; the goal is a time no
// longer than before.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/reply_reader.h"

namespace indigolead {
namespace {

using Json = nlohmann::json;

constexpr int kTargets = 5000;
constexpr int kPageTargets = 500;
constexpr int kRounds = 41;

Json MakeTarget(int n) {
  const std::string name = "i-" + std::to_string(n);
  return {{"metadata",
           {{"name", name},
            {"revision", n + 1},
            {"created-at", 1764931200 + n},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec",
           {{"service", "llm"},
            {"address", "10.128.0.9:" + std::to_string(n)},
            {"zone", "bilbao-a"},
            {"version", "v1"},
            {"slots", 128},
            {"state", "ready"},
            {"stage", "decode"},
            {"seq", n}}},
          {"status", {{"limit", 12.5}}}};
}

std::vector<std::string> MakePages() {
  std::vector<std::string> pages;
  for (int n = 0; n < kTargets; n += kPageTargets) {
    Json items = Json::array();
    for (int it = n; it < n + kPageTargets; ++it) {
      items.push_back(MakeTarget(it));
    }
    pages.push_back(Json{
        {"items", std::move(items)},
        {"has-more", n + kPageTargets < kTargets},
        {"at",
         kTargets}}.dump());
  }
  return pages;
}

std::size_t ReadAsDocument(const std::string& page) {
  std::size_t bytes = 0;
  const Json reply = Json::parse(page);
  for (const Json& it : reply.at("items")) {
    const std::string key =
        "servers/" + it.at("metadata").at("name").get<std::string>();
    Json value = it.at("spec");
    value["status"] = it.at("status");
    bytes += key.size() + value.dump().size();
  }
  return bytes;
}

std::size_t ReadByObject(const std::string& page) {
  std::size_t bytes = 0;
  const auto reply = platform::ReadPage(page);
  for (const platform::ReplyObject& it : reply->objects) {
    const std::string key = "servers/" + it.name;
    bytes += key.size() + it.value.size();
  }
  return bytes;
}

/// Adds the time of reading all pages, in milliseconds, to `times`.
template <typename Read>
std::size_t Measure(const std::vector<std::string>& pages, const Read& read,
                    std::vector<double>* times) {
  std::size_t bytes = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (const std::string& it : pages) {
    bytes += read(it);
  }
  const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - begin;
  times->push_back(took.count());
  return bytes;
}

double Median(std::vector<double> times) {
  std::sort(times.begin(), times.end());
  return times.at(times.size() / 2);
}

int Run() {
  const std::vector<std::string> pages = MakePages();
  std::vector<double> as_document;
  std::vector<double> by_object;
  bool same = true;
  for (int n = 0; n < kRounds; ++n) {
    // The members of printed values are sorted, as those of the targets are, so
    // that both ways yield equally many bytes.
    const std::size_t expected = Measure(pages, ReadAsDocument, &as_document);
    same = Measure(pages, ReadByObject, &by_object) == expected && same;
  }
  std::printf("list_as_document_ms %.2f\nlist_by_object_ms %.2f\n",
              Median(as_document), Median(by_object));
  return same ? 0 : 1;
}

}  // namespace
}  // namespace indigolead

int main() { return indigolead::Run(); }
