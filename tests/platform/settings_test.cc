#include "platform/settings.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace indigolead::platform {
namespace {

const std::string kGood =
    "node=front-a-1\nzone=bilbao-a\nregion=norte\n"
    "listen.front=10.1.0.38:8149\nlisten.ready=10.1.0.38:8141\n"
    "platform.address=10.200.1.7:8142\nlimits.max-fds=4100\n"
    "bounds.grace-s=8\nbounds.lease-ms=3000\n"
    "bounds.drain-ms=4000\nbounds.config-deadline-ms=3500\n"
    "bounds.budget-window-s=12\n"
    "bounds.retry-budget-ratio=0.2\nbounds.retry-slack=54\n";

std::vector<ConfigProblem> ProblemsOf(const std::string& text) {
  const auto checked = ParsePlatformSettings("settings.conf", text);
  const auto* problems = std::get_if<std::vector<ConfigProblem>>(&checked);
  return problems ? *problems : std::vector<ConfigProblem>{};
}

TEST_CASE("The platform's settings are mapped to PlatformSettings") {
  const auto checked = ParsePlatformSettings("settings.conf", kGood);
  const auto* settings = std::get_if<PlatformSettings>(&checked);
  REQUIRE(settings);
  CHECK(settings->instance == "front-a-1");
  CHECK(settings->failure_domain == "bilbao-a");
  CHECK(settings->callers_address == "10.1.0.38:8149");
  CHECK(settings->ready_address == "10.1.0.38:8141");
  CHECK(settings->store_address == "10.200.1.7:8142");
  CHECK(settings->max_descriptors == 4100);
  CHECK(settings->stop_grace == std::chrono::seconds(8));
  CHECK(settings->lease_separation == std::chrono::seconds(3));
  CHECK(settings->drain_deadline == std::chrono::seconds(4));
  CHECK(settings->configuration_deadline == std::chrono::milliseconds(3500));
  CHECK(settings->retry_ratio == Approx(0.2));
  CHECK(settings->retry_window == std::chrono::seconds(12));
  CHECK(settings->retry_slack == Approx(54));

  SECTION("the first start of the system is recognized") {
    CHECK_FALSE(settings->first_start);
    const auto first =
        ParsePlatformSettings("settings.conf", kGood + "bootstrap=true\n");
    REQUIRE(std::holds_alternative<PlatformSettings>(first));
    CHECK(std::get<PlatformSettings>(first).first_start);
  }
  SECTION("entries use the first port of the range for each other") {
    CHECK(settings->entries_address.empty());
    const auto with = ParsePlatformSettings(
        "settings.conf", kGood +
                             "ip=10.1.0.38\nport-range=7380,7395\n"
                             "limits.cpu-share=0.19\n");
    REQUIRE(std::holds_alternative<PlatformSettings>(with));
    const auto& more = std::get<PlatformSettings>(with);
    CHECK(more.entries_address == "10.1.0.38:7380");
    CHECK(more.cpu_share == Approx(0.19));
    const auto problems = ProblemsOf(kGood + "ip=10.1.0.38\nport-range=many\n");
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().key == "port-range");
  }
  SECTION("unknown names, comments and empty lines are ignored") {
    CHECK(ProblemsOf(kGood + "\n# a comment\nnew.field=1,2\n").empty());
  }
  SECTION("a missing bound has its default value") {
    const auto less = ParsePlatformSettings(
        "settings.conf", kGood.substr(0, kGood.find("bounds.grace-s")));
    REQUIRE(std::holds_alternative<PlatformSettings>(less));
    CHECK(std::get<PlatformSettings>(less).stop_grace ==
          std::chrono::seconds(8));
  }
}

TEST_CASE("Usage is reported only if the platform asks for it") {
  const std::string asked = kGood +
                            "cloud.address=10.200.0.179:8228\n"
                            "bounds.report-window-s=5\n"
                            "bounds.usage-late-s=10\n";
  const auto settings_of = [](const std::string& text) {
    const auto parsed = ParsePlatformSettings("settings.conf", text);
    REQUIRE(std::holds_alternative<PlatformSettings>(parsed));
    return std::get<PlatformSettings>(parsed);
  };

  SECTION("if the duties include usage reports") {
    const PlatformSettings settings =
        settings_of(asked + "cloud.duties=autoscale, usage_report\n");
    CHECK(settings.usage_address == "10.200.0.179:8228");
    CHECK(settings.usage_window == std::chrono::seconds(5));
    CHECK(settings.usage_report_deadline == std::chrono::seconds(10));
  }
  SECTION("not otherwise") {
    CHECK(settings_of(asked).usage_address.empty());
    CHECK(
        settings_of(asked + "cloud.duties=autoscale\n").usage_address.empty());
    CHECK(settings_of(asked + "cloud.duties=\n").usage_address.empty());
  }
  SECTION("an address is then required") {
    const auto problems = ProblemsOf(kGood + "cloud.duties=usage_report\n");
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].key == "cloud.address");
  }
}

// Guards against a start that fails for a field that has a default value.
TEST_CASE("Settings are usable if only fields with a default are invalid") {
  const auto parsed = ParseUsableSettings(
      "settings.conf", kGood +
                           "bounds.grace-s=many\nip=\nport-range=1\n"
                           "cloud.duties=usage_report\n"
                           "cloud.address=nowhere\nno field\n");
  const auto* usable = std::get_if<UsableSettings>(&parsed);
  REQUIRE(usable);
  const PlatformSettings& settings = usable->settings;
  CHECK(settings.callers_address == "10.1.0.38:8149");
  CHECK(settings.stop_grace == PlatformSettings{}.stop_grace);
  CHECK(settings.entries_address.empty());
  CHECK(settings.usage_address.empty());
  CHECK(usable->problems.size() == 4);

  SECTION("not if one without which none can serve is") {
    for (const char* line : {"node=", "listen.front=front:80",
                             "listen.ready=", "platform.address=none"}) {
      CAPTURE(line);
      CHECK(std::holds_alternative<std::vector<ConfigProblem>>(
          ParseUsableSettings("settings.conf", kGood + line + "\n")));
    }
  }
}

TEST_CASE("Problems in settings state their place and what is expected") {
  SECTION("all missing fields are reported together") {
    CHECK(ProblemsOf("").size() == 6);
  }
  SECTION("an invalid address") {
    const auto problems = ProblemsOf(kGood + "listen.ready=front:80\n");
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].line == 15);
    CHECK(problems[0].key == "listen.ready");
    CHECK(problems[0].detail == "is \"front:80\"; expected IP:port");
  }
  SECTION("a number out of range, or not a number") {
    for (const char* value : {"-1", "nan", "8s", ""}) {
      INFO(value);
      const auto problems =
          ProblemsOf(kGood + "bounds.grace-s=" + value + "\n");
      REQUIRE(problems.size() == 1);
      CHECK(problems[0].key == "bounds.grace-s");
    }
  }
  SECTION("a line that is not a field") {
    const auto problems = ProblemsOf(kGood + "what is this\n");
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].detail == "expected name=value");
  }
}

}  // namespace
}  // namespace indigolead::platform
