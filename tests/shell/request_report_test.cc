#include "report/request_report.h"

#include <catch2/catch.hpp>

#include "report/log_line.h"
#include "report/report_page.h"

namespace indigolead::report {
namespace {

std::string LogLineAt(const std::string& time, const std::string& rest) {
  return "2026-04-14T23:30:" + time + " INFO entry/front-1 " + rest;
}

TEST_CASE("ParseLogLine parses a log line") {
  const auto line = ParseLogLine(LogLineAt(
      "57.044",
      R"(1021 request-refused request=a code=full detail="a \"b\"")"));
  REQUIRE(line);
  CHECK(line->process == "entry/front-1");
  CHECK(line->event == "request-refused");
  CHECK(line->Get("request") == "a");
  CHECK(line->Get("detail") == "a \"b\"");
  CHECK(line->Get("other").empty());
  CHECK_FALSE(line->Number("code"));

  SECTION("text that a log collector put in front is skipped") {
    const auto collected = ParseLogLine(
        "  -13.85 front-1 " + LogLineAt("57.044", "1001 entry-started"));
    REQUIRE(collected);
    CHECK(collected->at_ms == line->at_ms);
  }
  SECTION("times are parsed to the millisecond") {
    const auto later = ParseLogLine(LogLineAt("58.045", "1001 entry-started"));
    REQUIRE(later);
    CHECK(later->at_ms - line->at_ms == 1001);
  }
  SECTION("truncated lines and other text are rejected") {
    const char* const text =
        GENERATE("", "    ", "a word", "2026-04-14T23:30:57.044",
                 "2026-04-14T23:30:57.044 INFO entry/front-1 1001",
                 "2026-04-14T23:30:57.044 INFO entry/front-1 1001 x a=\"cut",
                 "2026-04-14T23:30:57.044 INFO entry/front-1 1001 x cut");
    CHECK_FALSE(ParseLogLine(text));
  }
}

/// Adds a request with 200 ms of prefill, the first event 40 ms later and the
/// end after 400 ms.
void AddAnswered(RequestReport* report) {
  report->Add("log", 1,
              LogLineAt("57.000",
                        "1020 request-placed request=a route=audit "
                        "target=e1 after_ms=2"));
  report->Add("log", 2,
              LogLineAt("57.200",
                        "1032 runner-chosen request=a target=e2 "
                        "after_ms=202"));
  report->Add("log", 3,
              LogLineAt("57.400",
                        "1022 request-answered request=a route=audit "
                        "status=200 after_ms=400 first_ms=242 "
                        "longest_pause_ms=31"));
}

// Guards the diagnosis of slow or refused requests after the fact, when only
// the logs of the entries are left.
TEST_CASE("A report breaks down request times and failure causes") {
  RequestReport report;
  AddAnswered(&report);

  SECTION("time breakdown of a request") {
    const RequestStats& it = report.by_route().at("audit");
    CHECK(it.answered == 1);
    CHECK(it.before_first_attempt.Quantile(0.5) == 2);
    CHECK(it.prefill_time.Quantile(0.5) == 200);
    CHECK(it.first_event.Quantile(0.5) == 40);
    CHECK(it.pause.Quantile(0.5) == 31);
    CHECK(it.whole.Quantile(0.5) == 400);
  }
  SECTION("refusals by cause and by second") {
    report.Add("log", 4,
               LogLineAt("57.500",
                         "1024 attempt-refused request=b target=e7 "
                         "cause=target_full"));
    report.Add("log", 5,
               LogLineAt("59.100",
                         "1021 request-refused request=b route=audit "
                         "code=target_full run=not-run after_ms=30"));
    report.Add("log", 6,
               LogLineAt("59.200",
                         "1021 request-refused request=c route=print "
                         "code=target_failed run=unknown after_ms=30"));
    CHECK(report.by_route().at("audit").refused == 1);
    CHECK(report.by_route().at("print").unknown == 1);
    CHECK(report.by_second().at(2).ended() == 2);
    CHECK(report.causes().at("target_full") == 1);
    CHECK(report.attempts_refused().at("target_full").at("e7") == 1);
    CHECK(ToText(report).find("e7 (1)") != std::string::npos);
  }
  SECTION("a failure status from the target counts as failed") {
    report.Add("log", 4,
               LogLineAt("58.000",
                         "1022 request-answered request=d route=print "
                         "status=500 after_ms=30"));
    CHECK(report.by_route().at("print").failed == 1);
    CHECK(report.by_route().at("print").answered == 0);
  }
  SECTION("store calls by process") {
    report.Add("log", 4,
               LogLineAt("58.000",
                         "3003 store-calls seconds=10 "
                         "store.watch.servers=7 store.get.control=1"));
    report.Add("log", 5,
               LogLineAt("59.000",
                         "3003 store-calls seconds=10 "
                         "store.watch.servers=5"));
    CHECK(report.store_calls().at("entry/front-1").at("store.watch.servers") ==
          12);
  }
  SECTION("unreadable lines are counted and located") {
    report.Add("log", 9, "half a li");
    CHECK(report.lines() == 4);
    CHECK(report.unreadable() == 1);
    CHECK(report.unreadable_places() == std::vector<std::string>{"log:9"});
    CHECK(ToText(report).find("1 unreadable log:9") != std::string::npos);
  }
  SECTION("CSV with one row per second") {
    CHECK(ToCsv(report).find("\n0,1,1,0,0,0,0,200,200,40,40,400,400\n") !=
          std::string::npos);
  }
  SECTION("SVG chart") {
    const std::string svg = ToSvg(report);
    CHECK(svg.starts_with("<svg "));
    CHECK(svg.ends_with("</svg>\n"));
  }
}

TEST_CASE("A report without log lines is valid and empty") {
  const RequestReport report;
  CHECK(ToText(report).find("0 lines, 0 unreadable") != std::string::npos);
  CHECK(ToSvg(report).starts_with("<svg "));
}

}  // namespace
}  // namespace indigolead::report
