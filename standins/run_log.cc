#include "standins/run_log.h"

#include <xxhash.h>

#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace indigolead::standins {

std::string HashHex(const std::string& text) {
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%016" PRIx64,
                static_cast<std::uint64_t>(XXH64(text.data(), text.size(), 0)));
  return digits;
}

std::size_t RunLog::Start(const HttpRequest& request) {
  RunRecord record;
  record.request_id = request.Header("X-Request-Id");
  record.idempotency_key = request.Header("Idempotency-Key");
  record.method = request.method;
  record.path = request.path;
  record.body_hash = HashHex(request.body);
  records_.push_back(std::move(record));
  return records_.size() - 1;
}

void RunLog::Finish(std::size_t run) { records_.at(run).finished = true; }

void RunLog::Cut(std::size_t run) { records_.at(run).cut = true; }

std::vector<RunRecord> RunLog::records() const {
  return {records_.begin(), records_.end()};
}

std::string RunLog::ToJson() const {
  nlohmann::json runs = nlohmann::json::array();
  for (const auto& record : records_) {
    runs.push_back({{"request_id", record.request_id},
                    {"idempotency_key", record.idempotency_key},
                    {"method", record.method},
                    {"path", record.path},
                    {"body_hash", record.body_hash},
                    {"finished", record.finished},
                    {"cut", record.cut}});
  }
  return nlohmann::json{{"runs", runs}}.dump();
}

}  // namespace indigolead::standins
