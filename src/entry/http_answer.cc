#include "entry/http_answer.h"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/status.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "core/request/header_fields.h"
#include "runtime/header_text.h"

namespace indigolead {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttp10 = 10;

template <typename Buffers>
void AppendBuffers(const Buffers& buffers, std::string* out) {
  for (const asio::const_buffer it : beast::buffers_range_ref(buffers)) {
    out->append(static_cast<const char*>(it.data()), it.size());
  }
}

std::string_view ErrorType(int status) {
  switch (status) {
    case 401:
      return "authentication_error";
    case 403:
      return "permission_error";
    case 404:
      return "not_found_error";
    case 429:
      return "rate_limit_error";
    default:
      return status < 500 ? "invalid_request_error" : "server_error";
  }
}

}  // namespace

void AppendHead(int status, const std::vector<HeaderField>& headers,
                const std::string& request_id, const AnswerFraming& framing,
                std::string* out) {
  const auto reason =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  *out += framing.version == kHttp10 ? "HTTP/1.0 " : "HTTP/1.1 ";
  *out += std::to_string(status);
  *out += ' ';
  out->append(reason.data(), reason.size());
  *out += "\r\n";
  const std::string_view connection = FindHeader(headers, "connection");
  for (const HeaderField& it : headers) {
    const bool drops_length = EqualsIgnoringCase(it.name, "content-length") &&
                              !framing.is_head_request;
    if (!drops_length && !IsHopByHop(it.name, connection) &&
        !EqualsIgnoringCase(it.name, "x-request-id")) {
      AppendHeaderLine(it.name, it.value, out);
    }
  }
  AppendHeaderLine("X-Request-Id", request_id, out);
  // The default depends on the version (RFC 9112, section 9.3).
  if (framing.keep_alive && framing.version == kHttp10) {
    AppendHeaderLine("Connection", "keep-alive", out);
  } else if (!framing.keep_alive && framing.version != kHttp10) {
    AppendHeaderLine("Connection", "close", out);
  }
  if (framing.chunked) {
    AppendHeaderLine("Transfer-Encoding", "chunked", out);
  } else if (framing.content_length) {
    AppendHeaderLine("Content-Length", std::to_string(*framing.content_length),
                     out);
  }
  *out += "\r\n";
}

void AppendChunk(std::string_view data, std::string* out) {
  if (!data.empty()) {
    AppendBuffers(http::make_chunk(asio::buffer(data.data(), data.size())),
                  out);
  }
}

void AppendLastChunk(std::string* out) {
  AppendBuffers(http::make_chunk_last(), out);
}

std::string ErrorJson(const Refusal& refusal, const std::string& request_id) {
  nlohmann::json error;
  error["message"] = refusal.message;
  error["type"] = ErrorType(refusal.status);
  error["code"] = refusal.code;
  error["run"] = RunStateName(refusal.run);
  error["request_id"] = request_id;
  const nlohmann::json body = {{"error", error}};
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::vector<HeaderField> RefusalHeaders(const Refusal& refusal) {
  std::vector<HeaderField> headers = {
      {"Content-Type", "application/json"},
      {kRunStateHeader, std::string(RunStateName(refusal.run))}};
  if (refusal.retry_after > Duration{0}) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after).count();
    headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  if (refusal.status == 401) {
    headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  return headers;
}

}  // namespace indigolead
