// Implements runs, orders and reports of the engine stand-in.
#include "standins/engine_run.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "standins/engine_server.h"

namespace indigolead::standins {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr milliseconds kWaitStep{200};
constexpr std::size_t kMaxCacheEvents = 4096;

Task SleepSeconds(double seconds) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(std::chrono::duration_cast<SteadyClock::duration>(
      std::chrono::duration<double>(seconds)));
  co_await timer.async_wait(boost::asio::use_awaitable);
}

}  // namespace

Task EngineServer::WaitForSlot(RunPtr run) {
  const auto later = [](const RunPtr& a, const RunPtr& b) {
    return a->priority > b->priority;
  };
  waiting_.insert(
      std::upper_bound(waiting_.begin(), waiting_.end(), run, later), run);
  while (!run->ended &&
         (running_ >= options_.slots || waiting_.front() != run)) {
    co_await slots_changed_->Wait(kWaitStep);
  }
  if (run->ended) {
    co_return;
  }
  waiting_.pop_front();
  run->holds_slot = true;
  ++running_;
  slots_changed_->NotifyAll();
}

Task EngineServer::Generate(RunPtr run) {
  co_await WaitForSlot(run);
  if (run->ended) {
    co_return;
  }
  if (!options_.poison.empty() &&
      run->request.prompt.find(options_.poison) != std::string::npos) {
    options_.on_poison();
    co_return;
  }
  if (options_.prefill_tokens_per_s > 0 && run->uncached_tokens > 0) {
    co_await SleepSeconds(run->uncached_tokens / options_.prefill_tokens_per_s);
  }
  if (run->ended) {
    co_return;
  }
  PublishCacheEvent(cache_.Insert(run->request.model, run->request.prompt));
  co_await Decode(run);
  if (run->ended) {
    co_return;
  }
  run->events.push_back(run->completion.FinalEvent());
  run->events.emplace_back("[DONE]");
  EndRun(run, false);
}

Task EngineServer::Decode(RunPtr run) {
  constexpr double kStepSeconds = 0.001;
  const auto started = SteadyClock::now();
  const std::uint32_t total = run->request.max_tokens;
  for (std::uint32_t made = 0; made < total && !run->ended;) {
    const double rate = options_.decode_tokens_per_s;
    std::uint32_t due = total;
    if (rate > 0) {
      const std::chrono::duration<double> spent = SteadyClock::now() - started;
      due = static_cast<std::uint32_t>(
          std::min<double>(total, spent.count() * rate));
    }
    for (; made < due; ++made) {
      if (run->request.stream) {
        run->events.push_back(run->completion.TokenEvent(made));
      }
    }
    run->changed.NotifyAll();
    if (made < total) {
      co_await SleepSeconds(std::max(kStepSeconds, rate > 0 ? 0.5 / rate : 0));
    }
  }
}

void EngineServer::EndRun(const RunPtr& run, bool cut) {
  if (run->ended) {
    return;
  }
  run->ended = true;
  run->cut = cut;
  if (cut) {
    log_.Cut(run->log_number);
  } else {
    log_.Finish(run->log_number);
  }
  if (run->holds_slot) {
    --running_;
  } else {
    std::erase(waiting_, run);
  }
  run->changed.NotifyAll();
  slots_changed_->NotifyAll();
}

void EngineServer::AbortRuns() {
  for (const auto& [id, run] : streams_) {
    EndRun(run, true);
  }
}

void EngineServer::PublishCacheEvent(CacheEvent event) {
  if (event.sequence == 0) {
    return;
  }
  const std::uint32_t gap = options_.cache_event_gap_every;
  if (gap > 0 && event.sequence % gap == 0) {
    return;
  }
  cache_events_.push_back(
      {SteadyClock::now() + options_.cache_event_lag, std::move(event)});
  if (cache_events_.size() > kMaxCacheEvents) {
    cache_events_.pop_front();
  }
}

Task EngineServer::HandleCacheEvents(HttpExchange& exchange) {
  std::uint64_t from = exchange.request().QueryNumber("from", 0);
  const std::uint64_t boot = boot_;
  co_await exchange.StartChunks(200, "application/x-ndjson");
  while (exchange.open() && boot == boot_) {
    std::string lines;
    for (const auto& [shown_at, event] : cache_events_) {
      if (event.sequence >= from && shown_at <= SteadyClock::now()) {
        lines += Json{{"sequence", event.sequence},
                      {"added", event.added},
                      {"removed", event.removed}}
                     .dump() +
                 "\n";
        from = event.sequence + 1;
      }
    }
    co_await exchange.WriteChunk(lines);
    co_await exchange.Sleep(milliseconds(50));
  }
}

Task EngineServer::HandleOrder(HttpExchange& exchange) {
  const Json json = Json::parse(exchange.request().body, nullptr, false);
  if (!json.is_object()) {
    co_await exchange.Reply(400, "{}", {});
    co_return;
  }
  OrderRecord order;
  order.fencing_number = json.value("fencing_number", std::uint64_t{0});
  order.generation = json.value("generation", std::uint64_t{0});
  order.role = json.value("role", state_.role);
  order.model = json.value("model", state_.model);
  order.version = json.value("version", state_.version);
  order.adapters = json.value("adapters", std::vector<std::string>{});
  order.status = 202;
  if (options_.check_fencing && order.fencing_number < state_.fencing_number) {
    order.status = 409;
  } else if (changing_) {
    order.status = 423;
  }
  orders_.push_back(order);
  if (order.status == 202) {
    // Stores the fencing number now rather than when the change completes, so
    // that an older order is rejected while the change is in progress.
    state_.fencing_number = order.fencing_number;
    const State wanted{order.role,     order.model,          order.version,
                       order.adapters, order.fencing_number, order.generation};
    const std::uint64_t boot = boot_;
    boost::asio::co_spawn(
        server_->io(),
        [this, wanted, boot]() -> Task {
          co_await CompleteChange(wanted, boot);
        },
        boost::asio::detached);
    // Starts the change before responding: `/state` read right after the
    // response must report it.
    const bool same =
        wanted.role == state_.role && wanted.model == state_.model &&
        wanted.version == state_.version && wanted.adapters == state_.adapters;
    changing_ = !same;
    if (!same) {
      AbortRuns();
    }
  }
  const std::string body = StateJson();
  co_await exchange.Reply(order.status, body, {});
}

Task EngineServer::CompleteChange(State wanted, std::uint64_t boot) {
  if (changing_) {
    const double seconds =
        std::chrono::duration<double>(options_.change_time).count();
    co_await SleepSeconds(seconds / 2);
    if (boot == boot_ && options_.crash_in_change) {
      options_.crash_in_change = false;
      options_.on_poison();
    }
    co_await SleepSeconds(seconds / 2);
  }
  if (boot != boot_) {
    co_return;
  }
  wanted.fencing_number =
      std::max(wanted.fencing_number, state_.fencing_number);
  state_ = wanted;
  changing_ = false;
}

std::string EngineServer::LoadJson() {
  const auto now = SteadyClock::now();
  if (load_json_.empty() || now - load_measured_at_ >= options_.load_lag) {
    std::uint64_t queued = 0;
    for (const auto& run : waiting_) {
      queued += run->uncached_tokens;
    }
    std::uint64_t used = cache_.blocks() * PrefixCache::kBlockBytes;
    for (const auto& [id, run] : streams_) {
      if (run->holds_slot && !run->ended) {
        used += (run->completion.prompt_tokens() + run->events.size()) *
                options_.kv_bytes_per_token;
      }
    }
    load_json_ = Json{{"boot_id", boot_id_},
                      {"running", running_},
                      {"waiting", waiting_.size()},
                      {"queued_prefill_tokens", queued},
                      {"kv_used_bytes", used},
                      {"kv_capacity_bytes", options_.kv_capacity_bytes},
                      {"slots", options_.slots},
                      {"prefill_tokens_per_s", options_.prefill_tokens_per_s},
                      {"decode_tokens_per_s", options_.decode_tokens_per_s}}
                     .dump();
    load_measured_at_ = now;
  }
  Json json = Json::parse(load_json_);
  json["measured_ago_ms"] =
      std::chrono::duration_cast<milliseconds>(now - load_measured_at_).count();
  return json.dump();
}

std::string EngineServer::StateJson() const {
  return Json{{"boot_id", boot_id_},
              {"role", state_.role},
              {"model", state_.model},
              {"version", state_.version},
              {"adapters", state_.adapters},
              {"fencing_number", state_.fencing_number},
              {"generation", state_.generation},
              {"changing", changing_},
              {"checks_fencing", options_.check_fencing}}
      .dump();
}

std::string EngineServer::OrdersJson() const {
  Json orders = Json::array();
  for (const auto& order : orders_) {
    orders.push_back({{"fencing_number", order.fencing_number},
                      {"generation", order.generation},
                      {"role", order.role},
                      {"model", order.model},
                      {"version", order.version},
                      {"adapters", order.adapters},
                      {"status", order.status}});
  }
  return Json{{"orders", orders}}.dump();
}

}  // namespace indigolead::standins
