#include "standins/run_log.h"

#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace indigolead::standins {

std::string ToHexDigits(std::uint64_t number) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016" PRIx64, number);
  return digits.data();
}

std::string HashHex(const std::string& text) {
  return ToHexDigits(XXH64(text.data(), text.size(), 0));
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
