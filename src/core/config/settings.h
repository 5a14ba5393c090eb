#ifndef INDIGOLEAD_CORE_CONFIG_SETTINGS_H_
#define INDIGOLEAD_CORE_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/time.h"

namespace indigolead {

/// Section [instance]: identity and location of this process. A process takes
/// its address and failure domain only from here and never probes for them.
struct InstanceSettings {
  std::string name;
  std::string failure_domain;
  std::string region;
  std::string link_address = "127.0.0.1:0";  ///< Listening address for peers.

  friend bool operator==(const InstanceSettings&,
                         const InstanceSettings&) = default;
};

/// Section [store]: the platform's object API.
struct StoreSettings {
  std::string address;  ///< "IP:port".
  Duration call_deadline = std::chrono::seconds(2);
  Duration watch_silence = std::chrono::seconds(10);
  std::uint32_t calls_per_second = 50;
  std::uint32_t call_burst = 100;
  std::uint32_t max_queued_calls = 1024;
  Duration instance_poll_interval = std::chrono::seconds(1);

  friend bool operator==(const StoreSettings&, const StoreSettings&) = default;
};

/// Section [links]: connections between indigolead processes.
struct LinkSettings {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  Duration silence_timeout = std::chrono::milliseconds(1500);
  std::uint32_t high_water_mark = 4096;
  std::uint64_t max_message_bytes = 16ULL << 20;
  std::uint32_t max_links = 4096;
  std::string public_key_file;
  std::string secret_key_file;
  std::string trusted_keys_file;
  /// Entries to try while the instance list is unavailable, as "IP:port".
  std::vector<std::string> seeds;

  friend bool operator==(const LinkSettings&, const LinkSettings&) = default;
};

/// Section [entry]: the process that accepts requests from callers.
struct EntrySettings {
  std::string http_address = "127.0.0.1:0";
  std::uint32_t max_connections = 4096;
  std::uint32_t max_requests = 8192;
  std::uint64_t max_header_bytes = 64ULL << 10;
  std::uint64_t max_body_bytes = 8ULL << 20;
  std::uint64_t stream_window_bytes = 256ULL << 10;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
  Duration write_timeout = std::chrono::seconds(30);
  Duration drain_timeout = std::chrono::minutes(10);
  Duration resume_timeout = std::chrono::seconds(10);
  bool run_controller = true;
  std::string tls_certificate_file;
  std::string tls_key_file;

  friend bool operator==(const EntrySettings&, const EntrySettings&) = default;
};

/// Section [side]: the process that runs next to one target.
struct SideSettings {
  std::string deployment;
  std::string target_kind = "engine";  ///< "engine" or "service".
  std::string target_address;          ///< "IP:port" on loopback.
  std::uint32_t max_attempts = 512;
  std::uint64_t max_buffer_bytes = 64ULL << 20;
  std::uint64_t stream_buffer_bytes = 1ULL << 20;
  Duration finished_retention = std::chrono::seconds(30);
  Duration load_poll_interval = std::chrono::milliseconds(500);
  Duration drain_timeout = std::chrono::minutes(10);
  std::uint32_t entries_per_region = 64;
  std::uint32_t max_claims = 200000;
  std::uint64_t max_answer_memory_bytes = 32ULL << 20;
  Duration claim_retention = std::chrono::minutes(60);

  friend bool operator==(const SideSettings&, const SideSettings&) = default;
};

/// Section [log].
struct LogSettings {
  std::string minimum = "info";  ///< debug, info, warning or error.

  friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

/// All settings of a process. Sections that its command does not use keep their
/// defaults and are rejected if present in the file.
struct Settings {
  InstanceSettings instance;
  StoreSettings store;
  LinkSettings links;
  EntrySettings entry;
  SideSettings side;
  LogSettings log;

  friend bool operator==(const Settings&, const Settings&) = default;
};

}  // namespace indigolead

#endif  // INDIGOLEAD_CORE_CONFIG_SETTINGS_H_
