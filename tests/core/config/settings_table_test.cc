#include "core/config/settings_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "tests/support/field_count.h"

namespace indigolead {
namespace {

using Catch::Matchers::Contains;

constexpr char kEntryText[] = R"(; an entry
[instance]
name = entry-1
failure_domain = bilbao-a
region = norte

[store]
address = 127.0.0.1:7000
)";

std::string ProblemsOf(const std::string& text,
                       SettingsRole role = SettingsRole::kEntry) {
  const ValueOrProblems<Settings> read = ReadSettings("e.ini", text, role);
  return read.index() == 0 ? "" : ToText(std::get<1>(read));
}

std::size_t RowsOf(const std::string& section) {
  const auto& table = SettingsTable();
  return static_cast<std::size_t>(
      std::count_if(table.begin(), table.end(),
                    [&](const auto& it) { return it.section == section; }));
}

TEST_CASE("Settings are read from INI") {
  SECTION("absent settings keep their defaults") {
    const ValueOrProblems<Settings> read =
        ReadSettings("e.ini", kEntryText, SettingsRole::kEntry);
    REQUIRE(read.index() == 0);
    Settings expected;
    expected.instance.name = "entry-1";
    expected.instance.failure_domain = "bilbao-a";
    expected.instance.region = "norte";
    expected.store.address = "127.0.0.1:7000";
    CHECK(std::get<0>(read) == expected);
  }
  SECTION("amounts are converted by unit") {
    const std::string text = std::string(kEntryText) +
                             "call_deadline = 1500ms\n"
                             "[links]\nmax_message_bytes = 64MiB\n"
                             "seeds = 10.0.0.1:70, 10.0.0.2:71\n";
    const ValueOrProblems<Settings> read =
        ReadSettings("e.ini", text, SettingsRole::kEntry);
    REQUIRE(read.index() == 0);
    const Settings& settings = std::get<0>(read);
    CHECK(settings.store.call_deadline == std::chrono::milliseconds(1500));
    CHECK(settings.links.max_message_bytes == 64U << 20);
    CHECK(settings.links.seeds ==
          std::vector<std::string>{"10.0.0.1:70", "10.0.0.2:71"});
  }
  SECTION("a side does not need the store's address") {
    CHECK(ProblemsOf("[instance]\nname = s\nfailure_domain = d\nregion = r\n"
                     "[side]\ndeployment = m\ntarget_address = 127.0.0.1:1\n",
                     SettingsRole::kSide)
              .empty());
  }
}

TEST_CASE("An invalid setting is reported with file, line, key and remedy") {
  struct Case {
    const char* added;  ///< Appended to the eight lines of a valid file.
    const char* message;
  };
  const Case cases[] = {
      {"[links]\nheartbeat_interval = 5\n",
       "e.ini:10: [links] heartbeat_interval: \"5\" is not accepted; accepted "
       "is a duration with unit (us, ms, s, m, h), such as 500ms or 5s"},
      {"[links]\nmax_message_bytes = 64MB\n",
       "e.ini:10: [links] max_message_bytes: \"64MB\" is not accepted; "
       "accepted is a size with unit (B, KiB, MiB, GiB), such as 64MiB"},
      {"[links]\nmax_links = 0\n", "accepted is an integer from 1 to 100000"},
      {"[links]\nmax_links = 18446744073709551617\n", "is not accepted"},
      {"[links]\nhartbeat_interval = 5s\n",
       "e.ini:10: [links] hartbeat_interval: is not a known key; did you mean "
       "heartbeat_interval?"},
      {"[link]\n",
       "e.ini:9: [link] is not a known section; did you mean "
       "[links]?"},
      {"[side]\n", "[side] is not a section of this command"},
      {"[links]\nmax_links =\n", "max_links: has no value"},
      {"[links]\nmax_links = 1\nmax_links = 1\n",
       "e.ini:11: [links] max_links: appears twice, first on line 10"},
      {"[instance]\n", "e.ini:9: [instance] appears twice, first on line 2"},
      {"[links]\nmax_links\n", "e.ini:10: [links] expected \"key = value\""},
      {"[links\n", "expected \"[section]\""},
      {"[links]\nsilence_timeout = 600ms\n",
       "e.ini:10: [links] silence_timeout: 600ms is less than two heartbeat"},
      {"[links]\npublic_key_file = a\n",
       "e.ini:10: [links] secret_key_file: is missing although "
       "public_key_file is set"},
      {"[entry]\ntls_key_file = a\n", "tls_certificate_file: is missing"},
      {"[entry]\nhttp_address = localhost:80\n",
       "accepted is an IP number and port"},
      {"[entry]\nrun_controller = yes\n", "accepted is true or false"},
      {"[log]\nminimum = loud\n",
       "accepted is one of debug, info, warning, error"},
      {"[log]\nminimum = \x01\n", "not printable UTF-8"},
      {"[log]\nminimum = \xff\n", "not printable UTF-8"},
  };
  for (const Case& it : cases) {
    INFO("added: " << it.added);
    CHECK_THAT(ProblemsOf(std::string(kEntryText) + it.added),
               Contains(it.message));
  }
}

TEST_CASE("All problems of a file are reported together") {
  const std::string problems = ProblemsOf("key = 1\n[instance]\nname = A\n");
  CHECK_THAT(problems, Contains("e.ini:1: key: appears before"));
  const std::string missing = ProblemsOf("[instance]\nname = A\n");
  CHECK_THAT(missing, Contains("e.ini:2: [instance] name: \"A\" is not"));
  CHECK_THAT(missing, Contains("[instance] region: is missing"));
  CHECK_THAT(missing, Contains("[store] address: is missing"));
}

// A field without a row could not be set, and its default would apply without
// being documented.
TEST_CASE("Every field of the settings has a row") {
  using testing::FieldCount;
  CHECK(RowsOf("instance") == FieldCount<InstanceSettings>());
  CHECK(RowsOf("store") == FieldCount<StoreSettings>());
  CHECK(RowsOf("links") == FieldCount<LinkSettings>());
  CHECK(RowsOf("entry") == FieldCount<EntrySettings>());
  CHECK(RowsOf("side") == FieldCount<SideSettings>());
  CHECK(RowsOf("log") == FieldCount<LogSettings>());
}

TEST_CASE("Every default is accepted by its own rule") {
  for (const KeyRow<Settings>& it : SettingsTable()) {
    INFO("[" << it.section << "] " << it.key);
    Settings settings;
    const std::string text = FormatField(it.rule, it.field(settings));
    if (!text.empty()) {
      CHECK(AssignField(it.rule, text, it.field(settings)) == std::nullopt);
      CHECK(settings == Settings{});
    }
  }
}

TEST_CASE("docs/SETTINGS.md matches the settings table") {
  const std::ifstream file(INDIGOLEAD_SOURCE_DIR "/docs/SETTINGS.md");
  std::ostringstream page;
  page << file.rdbuf();
  INFO("To regenerate: build/indigolead help settings > docs/SETTINGS.md");
  CHECK(page.str() == SettingsMarkdown());
}

}  // namespace
}  // namespace indigolead
