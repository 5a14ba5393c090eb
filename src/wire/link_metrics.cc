#include "wire/link_metrics.h"

namespace indigolead::internal {
namespace {

constexpr char kDroppedName[] = "indigolead_link_dropped_total";
constexpr char kDroppedHelp[] = "Messages dropped on receipt, by reason.";
constexpr char kFailedName[] = "indigolead_link_send_failed_total";
constexpr char kFailedHelp[] = "Messages not sent, by reason.";

}  // namespace

LinkMetrics::LinkMetrics(MetricsRegistry* registry)
    : up(registry->AddGauge("indigolead_links_up",
                            "Connections on which both ends said hello.")),
      opened(registry->AddCounter("indigolead_links_opened_total",
                                  "Connections that came up.")),
      silent(registry->AddCounter("indigolead_links_silent_total",
                                  "Connections closed for silence.")),
      refused(registry->AddCounter("indigolead_links_refused_total",
                                   "Peers refused.")),
      sent_messages(registry->AddCounter("indigolead_link_sent_messages_total",
                                         "Messages sent to peers.")),
      sent_bytes(registry->AddCounter("indigolead_link_sent_bytes_total",
                                      "Message bytes sent to peers.")),
      received_messages(
          registry->AddCounter("indigolead_link_received_messages_total",
                               "Messages received from peers.")),
      received_bytes(
          registry->AddCounter("indigolead_link_received_bytes_total",
                               "Message bytes received from peers.")),
      heartbeats_sent(registry->AddCounter("indigolead_link_heartbeats_total",
                                           "Heartbeats sent to peers.")),
      dropped_unparseable(registry->AddCounter(kDroppedName, kDroppedHelp,
                                               "reason=\"unparseable\"")),
      dropped_stray(
          registry->AddCounter(kDroppedName, kDroppedHelp, "reason=\"stray\"")),
      send_full(
          registry->AddCounter(kFailedName, kFailedHelp, "reason=\"full\"")),
      send_gone(
          registry->AddCounter(kFailedName, kFailedHelp, "reason=\"gone\"")),
      send_too_large(registry->AddCounter(kFailedName, kFailedHelp,
                                          "reason=\"too-large\"")) {}

}  // namespace indigolead::internal
