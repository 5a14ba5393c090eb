#ifndef INDIGOLEAD_CLI_HTTP_GET_H_
#define INDIGOLEAD_CLI_HTTP_GET_H_

#include <string>

#include "core/base/result.h"
#include "core/base/time.h"

namespace indigolead::cli {

/// Returns the body of `GET path` at `address` ("IP:port"). Fails if the status
/// is not 200 or the response is not complete within `deadline`.
Result<std::string> HttpGet(const std::string& address, const std::string& path,
                            Duration deadline);

}  // namespace indigolead::cli

#endif  // INDIGOLEAD_CLI_HTTP_GET_H_
