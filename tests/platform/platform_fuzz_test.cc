#include <catch2/catch.hpp>

#include "platform/caller_protocol.h"
#include "platform/documents.h"
#include "platform/settings.h"
#include "platform/target_protocol.h"
#include "tests/support/fuzz.h"

namespace indigolead::platform {
namespace {

// Corrupted input from the platform, callers or targets must give an error or a
// value. Nothing may be read out of bounds, and no exception may leave a
// parser: it would end the entry and disconnect every caller.

TEST_CASE("Corrupted settings give problems") {
  Fuzz({"node=a\nzone=z\nregion=r\nlisten.front=10.1.0.38:8149\n"
        "listen.ready=10.1.0.38:8141\nplatform.address=10.200.1.7:8142\n"
        "bounds.grace-s=8\nbounds.lease-ms=3000\nlimits.max-fds=4100\n"},
       [](const std::string& text) { ParsePlatformSettings("f", text); });
}

TEST_CASE("A corrupted configuration gives an error or a usable table") {
  Fuzz({R"({"version":7,"routes":[{"name":"r","host":"h.example",
        "path-prefix":"/x/","kind":"stream","timeout-ms":5000,"priority":1,
        "traffic-split":[{"service":"a","weight":90},
        {"service":"b","weight":10}],"max-attempts":2}],"services":[{"name":
        "a","max-conns":620,"engine":{"slots":128,"stage-switch-s":3.0}}],
        "limits":{"max-header-bytes":16384,"idle-timeout-ms":15000}})"},
       [](const std::string& text) {
         const auto decoded = DecodeConfiguration(text);
         if (IsOk(decoded)) {
           const RouteTable table(ValueOf(decoded));
           const ServiceRoute* route = table.Find("h.example", "/x/1");
           if (route) {
             RouteTable::PickService(*route, 12345);
           }
         }
       });
}

TEST_CASE("A corrupted registration gives an error or a target") {
  Fuzz({R"({"service":"a","address":"10.128.0.9:8080","zone":"z",
        "version":"v1","slots":128,"state":"ready","cold-remaining-ms":0,
        "stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],
        "seq":4})"},
       [](const std::string& text) { DecodeTarget("i-7", text); });
}

TEST_CASE("A corrupted list of prompt parts does not crash the parser") {
  Fuzz({"5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
       [](const std::string& text) { ReadPromptParts(text); });
}

TEST_CASE("Corrupted target responses do not crash their parsers") {
  const TargetDialect dialect = MakePlatformDialect();
  const TargetRecord target;
  Fuzz({R"({"kv-handle":"3fa09c41b7d5","tokens":1460,"version":1})",
        R"({"stage":"decode","busy":false,"seq":2,"queued":1})"},
       [&](const std::string& text) {
         dialect.read_handle(target, {200, text});
         ReadOrderCount(target, {200, text});
       });
}

}  // namespace
}  // namespace indigolead::platform
