#ifndef INDIGOLEAD_OBSERVE_METRICS_H_
#define INDIGOLEAD_OBSERVE_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace indigolead {

/// Monotonic counter. Safe to use from any thread.
class Counter {
 public:
  void Add(std::uint64_t n = 1) {
    value_.fetch_add(n, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Value that can go up and down. Safe to use from any thread.
class Gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t n) { value_.fetch_add(n, std::memory_order_relaxed); }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// Estimates the median and the 95th and 99th percentile of a stream of values
/// with Boost.Accumulators. P-square estimates cannot be merged, so each thread
/// records into its own summary, distinguished by a label.
class Summary {
 public:
  Summary();
  ~Summary();
  Summary(const Summary&) = delete;
  Summary& operator=(const Summary&) = delete;

  /// Records one value, in the unit given by the suffix of the metric's name.
  void Record(double value);

  struct Snapshot {
    std::uint64_t count = 0;
    double sum = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
  };
  Snapshot snapshot() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Counts durations in buckets with fixed bounds. Safe to use from any thread.
///
/// For latencies that are aggregated over processes. Estimated percentiles
/// cannot be aggregated, nor can the histograms of Boost.Accumulators, which
/// choose their bounds separately in each process.
class Histogram {
 public:
  /// Upper bounds in seconds: fine in the range of callers' latency objectives
  /// (0.1 to 1.5 s), coarse up to their deadlines (8 s).
  static constexpr std::array<double, 12> kBounds = {
      0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8};

  /// Records one duration in seconds.
  void Record(double seconds);

  struct Snapshot {
    /// Number of values up to each bound; the last element counts all values.
    std::array<std::uint64_t, kBounds.size() + 1> cumulative{};
    double sum = 0;
  };
  Snapshot snapshot() const;

 private:
  std::array<std::atomic<std::uint64_t>, kBounds.size() + 1> counts_{};
  std::atomic<std::uint64_t> sum_microseconds_{0};
};

/// Owns a process's metrics and prints them as Prometheus text.
///
/// Metrics live as long as the registry, so the returned references stay valid.
/// Names end with their unit ("_total", "_seconds", "_bytes"). `labels` is
/// either empty or `name="value",...`, already escaped.
class MetricsRegistry {
 public:
  Counter& AddCounter(std::string name, std::string help,
                      std::string labels = "");
  Gauge& AddGauge(std::string name, std::string help, std::string labels = "");
  Summary& AddSummary(std::string name, std::string help,
                      std::string labels = "");
  Histogram& AddHistogram(std::string name, std::string help,
                          std::string labels = "");

  /// Returns every metric in the Prometheus text format.
  std::string ToPrometheusText() const;

 private:
  template <typename T>
  struct Entry {
    Entry(std::string name, std::string help, std::string labels)
        : name(std::move(name)),
          help(std::move(help)),
          labels(std::move(labels)) {}

    std::string name;
    std::string help;
    std::string labels;
    T metric;
  };

  mutable std::mutex mutex_;
  std::deque<Entry<Counter>> counters_;
  std::deque<Entry<Gauge>> gauges_;
  std::deque<Entry<Summary>> summaries_;
  std::deque<Entry<Histogram>> histograms_;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_OBSERVE_METRICS_H_
