#include "observe/metrics.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>
#include <string_view>

namespace indigolead {
namespace {

namespace acc = boost::accumulators;

using Estimator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

constexpr double kQuantiles[] = {0.5, 0.95, 0.99};

void PrintSample(std::ostream& os, const std::string& name,
                 const std::string& labels, const std::string& extra,
                 double value) {
  os << name;
  if (!labels.empty() || !extra.empty()) {
    os << "{" << labels << (labels.empty() || extra.empty() ? "" : ",") << extra
       << "}";
  }
  os << " " << value << "\n";
}

void PrintHistogram(std::ostream& os, const std::string& name,
                    const std::string& labels,
                    const Histogram::Snapshot& snapshot) {
  for (std::size_t n = 0; n < snapshot.cumulative.size(); ++n) {
    std::ostringstream bound;
    if (n < Histogram::kBounds.size()) {
      bound << Histogram::kBounds[n];
    } else {
      bound << "+Inf";
    }
    PrintSample(os, name + "_bucket", labels, "le=\"" + bound.str() + "\"",
                static_cast<double>(snapshot.cumulative[n]));
  }
  PrintSample(os, name + "_sum", labels, "", snapshot.sum);
  PrintSample(os, name + "_count", labels, "",
              static_cast<double>(snapshot.cumulative.back()));
}

// Prints the HELP and TYPE lines once for consecutive metrics of the same name.
void PrintHeader(std::ostream& os, std::string* last_name,
                 const std::string& name, const std::string& help,
                 std::string_view type) {
  if (*last_name == name) {
    return;
  }
  *last_name = name;
  os << "# HELP " << name << " " << help << "\n";
  os << "# TYPE " << name << " " << type << "\n";
}

}  // namespace

struct Summary::State {
  mutable std::mutex mutex;
  Estimator estimator{acc::extended_p_square_probabilities = kQuantiles};
};

Summary::Summary() : state_(std::make_unique<State>()) {}
Summary::~Summary() = default;

void Summary::Record(double value) {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->estimator(value);
}

Summary::Snapshot Summary::snapshot() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  Snapshot snapshot;
  snapshot.count = acc::count(state_->estimator);
  if (snapshot.count == 0) {
    return snapshot;
  }
  snapshot.sum = acc::sum(state_->estimator);
  const auto quantiles = acc::extended_p_square(state_->estimator);
  snapshot.p50 = quantiles[0];
  snapshot.p95 = quantiles[1];
  snapshot.p99 = quantiles[2];
  return snapshot;
}

void Histogram::Record(double seconds) {
  const double value = std::max(seconds, 0.0);
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), value);
  const auto bucket = static_cast<std::size_t>(bound - kBounds.begin());
  counts_[bucket].fetch_add(1, std::memory_order_relaxed);
  sum_microseconds_.fetch_add(static_cast<std::uint64_t>(value * 1e6),
                              std::memory_order_relaxed);
}

Histogram::Snapshot Histogram::snapshot() const {
  Snapshot snapshot;
  std::uint64_t cumulative_count = 0;
  for (std::size_t n = 0; n < counts_.size(); ++n) {
    cumulative_count += counts_[n].load(std::memory_order_relaxed);
    snapshot.cumulative[n] = cumulative_count;
  }
  snapshot.sum =
      static_cast<double>(sum_microseconds_.load(std::memory_order_relaxed)) /
      1e6;
  return snapshot;
}

Counter& MetricsRegistry::AddCounter(std::string name, std::string help,
                                     std::string labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return counters_
      .emplace_back(std::move(name), std::move(help), std::move(labels))
      .metric;
}

Gauge& MetricsRegistry::AddGauge(std::string name, std::string help,
                                 std::string labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return gauges_
      .emplace_back(std::move(name), std::move(help), std::move(labels))
      .metric;
}

Summary& MetricsRegistry::AddSummary(std::string name, std::string help,
                                     std::string labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return summaries_
      .emplace_back(std::move(name), std::move(help), std::move(labels))
      .metric;
}

Histogram& MetricsRegistry::AddHistogram(std::string name, std::string help,
                                         std::string labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return histograms_
      .emplace_back(std::move(name), std::move(help), std::move(labels))
      .metric;
}

std::string MetricsRegistry::ToPrometheusText() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream os;
  std::string last_name;
  for (const auto& it : counters_) {
    PrintHeader(os, &last_name, it.name, it.help, "counter");
    PrintSample(os, it.name, it.labels, "",
                static_cast<double>(it.metric.value()));
  }
  for (const auto& it : gauges_) {
    PrintHeader(os, &last_name, it.name, it.help, "gauge");
    PrintSample(os, it.name, it.labels, "",
                static_cast<double>(it.metric.value()));
  }
  for (const auto& it : summaries_) {
    PrintHeader(os, &last_name, it.name, it.help, "summary");
    const Summary::Snapshot snapshot = it.metric.snapshot();
    PrintSample(os, it.name, it.labels, "quantile=\"0.5\"", snapshot.p50);
    PrintSample(os, it.name, it.labels, "quantile=\"0.95\"", snapshot.p95);
    PrintSample(os, it.name, it.labels, "quantile=\"0.99\"", snapshot.p99);
    PrintSample(os, it.name + "_sum", it.labels, "", snapshot.sum);
    PrintSample(os, it.name + "_count", it.labels, "",
                static_cast<double>(snapshot.count));
  }
  for (const auto& it : histograms_) {
    PrintHeader(os, &last_name, it.name, it.help, "histogram");
    PrintHistogram(os, it.name, it.labels, it.metric.snapshot());
  }
  return os.str();
}

}  // namespace indigolead
