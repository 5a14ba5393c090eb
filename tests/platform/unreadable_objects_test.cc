#include "platform/unreadable_objects.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace indigolead::platform {
namespace {

/// Objects reported at a time that the test sets.
class Reports {
 public:
  void Report(const std::string& key, std::uint64_t version) {
    objects_.Report({key, version, "a number is out of range"});
  }
  bool Counted(int n) const {
    return metrics_.ToPrometheusText().find(
               "indigolead_store_objects_unreadable_total " +
               std::to_string(n) + "\n") != std::string::npos;
  }

  TimePoint now{};
  std::vector<EventFields> logged;
  std::size_t passed_on = 0;

 private:
  MetricsRegistry metrics_;
  UnreadableObjects objects_{
      [this](const UnreadableObject&) { ++passed_on; }, [this] { return now; },
      [this](const EventInfo&, const EventFields& fields) {
        logged.push_back(fields);
      },
      &metrics_};
};

// Guards against a log that is flooded by what other writers store.
TEST_CASE("Unreadable objects are reported once a change and in bounds") {
  Reports reports;
  SECTION("an object is logged again only when it has changed") {
    reports.Report("servers/a", 4);
    reports.Report("servers/a", 4);
    CHECK(reports.logged.size() == 1);
    CHECK(reports.Counted(1));
    CHECK(reports.passed_on == 2);
    reports.Report("servers/a", 5);
    CHECK(reports.logged.size() == 2);
    CHECK(reports.logged[1] ==
          EventFields{{"object", "servers/a"},
                      {"revision", "5"},
                      {"problem", "a number is out of range"},
                      {"not_logged", "0"}});
    CHECK(reports.Counted(2));
  }
  SECTION("many objects are counted, but only some are logged") {
    const int many = 2 * static_cast<int>(UnreadableObjects::kMaxRemembered);
    for (int n = 0; n < many; ++n) {
      reports.Report("servers/" + std::to_string(n), 4);
    }
    CHECK(reports.logged.size() == UnreadableObjects::kMaxLogged);
    CHECK(reports.Counted(many));
    reports.now += UnreadableObjects::kLogInterval;
    reports.Report("servers/later", 4);
    REQUIRE(reports.logged.size() == UnreadableObjects::kMaxLogged + 1);
    CHECK(reports.logged.back().back().second ==
          std::to_string(many - UnreadableObjects::kMaxLogged));
  }
  SECTION("a long name is cut") {
    reports.Report("servers/" + std::string(100000, 'x'), 4);
    CHECK(reports.logged[0][0].second.size() ==
          UnreadableObjects::kMaxKeyBytes);
  }
}

}  // namespace
}  // namespace indigolead::platform
