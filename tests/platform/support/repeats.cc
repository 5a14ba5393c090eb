#include "tests/platform/support/repeats.h"

#include <algorithm>
#include <map>

namespace indigolead::testing {

using Time = std::chrono::steady_clock::time_point;

namespace {

using Arrivals = std::vector<ModelWorker::Arrival>;

/// Returns the arrivals of each request after its first, in order of time.
std::map<std::string, Arrivals> FurtherArrivalsOf(PlatformScene* scene,
                                                  const std::string& service) {
  std::map<std::string, Arrivals> by_request;
  for (ModelWorker& worker : scene->workers) {
    if (worker.service() == service) {
      for (ModelWorker::Arrival& it : worker.request_arrivals()) {
        by_request[it.request_id].push_back(std::move(it));
      }
    }
  }
  for (auto& [id, arrivals] : by_request) {
    std::sort(arrivals.begin(), arrivals.end(),
              [](const auto& a, const auto& b) { return a.at < b.at; });
    const auto first_prefill = std::find_if(
        arrivals.begin(), arrivals.end(),
        [](const auto& it) { return it.is_prefill && it.accepted; });
    if (first_prefill != arrivals.end()) {
      arrivals.erase(first_prefill);
    }
    if (!arrivals.empty()) {
      arrivals.erase(arrivals.begin());
    }
  }
  return by_request;
}

/// Sends one request and returns the status of its answer.
int Send(const std::string& address, const SteadyCallers::Load& load,
         const std::string& id) {
  std::vector<std::pair<std::string, std::string>> headers = {
      {"X-Request-Id", id},
      {"X-Deadline-Ms", std::to_string(load.deadline_ms)}};
  if (load.has_prompt || load.make_parts) {
    headers.emplace_back("X-Token-Usage", "100,4");
    headers.emplace_back("X-Prefix-Hash",
                         load.make_parts ? load.make_parts(id) : "5c:80,91:20");
  }
  return HttpCall(address, load.method, load.path,
                  load.make_parts ? id : "prices", headers, load.patience)
      .status;
}

}  // namespace

std::vector<Time> FurtherArrivals(PlatformScene* scene,
                                  const std::string& service) {
  std::vector<Time> further;
  for (const auto& [id, arrivals] : FurtherArrivalsOf(scene, service)) {
    for (const ModelWorker::Arrival& it : arrivals) {
      further.push_back(it.at);
    }
  }
  std::sort(further.begin(), further.end());
  return further;
}

std::map<std::string, std::size_t> FurtherArrivalsByRequest(
    PlatformScene* scene, const std::string& service) {
  std::map<std::string, std::size_t> counts;
  for (const auto& [id, arrivals] : FurtherArrivalsOf(scene, service)) {
    counts[id] = arrivals.size();
  }
  return counts;
}

SteadyCallers::SteadyCallers(PlatformScene* scene, const Load& load)
    : load_(load) {
  addresses_.push_back(scene->callers_address);
  for (const PlatformScene::FurtherEntry& it : scene->further) {
    addresses_.push_back(it.callers_address);
  }
  for (int n = 0; n < kCallers; ++n) {
    threads_.emplace_back([this, n] { SendRequests(n); });
  }
}

std::vector<SteadyCallers::Outcome> SteadyCallers::outcomes() {
  const std::lock_guard lock(mutex_);
  return outcomes_;
}

std::vector<Time> SteadyCallers::Stop() {
  stopping_ = true;
  for (std::thread& it : threads_) {
    it.join();
  }
  threads_.clear();
  std::sort(sent_.begin(), sent_.end());
  return sent_;
}

void SteadyCallers::SendRequests(int caller) {
  std::string kind = load_.path.substr(1);
  std::replace(kind.begin(), kind.end(), '/', '-');
  const std::chrono::duration<double> gap(kCallers / load_.per_second);
  const auto period =
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(gap);
  auto next = std::chrono::steady_clock::now() + period * caller / kCallers;
  for (std::size_t n = 0; !stopping_; ++n) {
    std::this_thread::sleep_until(next);
    next = std::max(next + period, std::chrono::steady_clock::now());
    const Time sent_at = std::chrono::steady_clock::now();
    {
      const std::lock_guard lock(mutex_);
      sent_.push_back(sent_at);
    }
    const std::string id =
        kind + "-" + std::to_string(caller) + "-" + std::to_string(n);
    const std::string& address =
        addresses_[(n + static_cast<std::size_t>(caller)) % addresses_.size()];
    const int status = Send(address, load_, id);
    served_ += status == 200 ? 1 : 0;
    const std::lock_guard lock(mutex_);
    outcomes_.push_back({sent_at, status});
  }
}

}  // namespace indigolead::testing
