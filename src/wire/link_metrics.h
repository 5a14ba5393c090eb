#ifndef INDIGOLEAD_WIRE_LINK_METRICS_H_
#define INDIGOLEAD_WIRE_LINK_METRICS_H_

#include "observe/metrics.h"

namespace indigolead::internal {

/// Metrics of the connections of one process.
struct LinkMetrics {
  explicit LinkMetrics(MetricsRegistry* registry);

  Gauge& up;
  Counter& opened;
  Counter& silent;
  Counter& refused;
  Counter& sent_messages;
  Counter& sent_bytes;
  Counter& received_messages;
  Counter& received_bytes;
  Counter& heartbeats_sent;
  Counter& dropped_unparseable;
  Counter& dropped_stray;
  Counter& send_full;
  Counter& send_gone;
  Counter& send_too_large;
};

}  // namespace indigolead::internal

#endif  // INDIGOLEAD_WIRE_LINK_METRICS_H_
