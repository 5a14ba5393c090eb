#include "core/membership/software_history.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace indigolead {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

TargetRecord Target(const std::string& id, const std::string& version) {
  TargetRecord target;
  target.id = id;
  target.service = "llm";
  target.software_version = version;
  return target;
}

TEST_CASE("SoftwareHistory proves which version began a stream") {
  SoftwareHistory::Options options;
  options.stream_life = seconds(60);

  SECTION("not before its history is as long as a stream's life") {
    SoftwareHistory history(options);
    CHECK_FALSE(history.OnlyVersion("llm", kStart));
    history.OnListed({Target("a", "v1")}, kStart);
    CHECK_FALSE(history.OnlyVersion("llm", kStart + seconds(59)));
    CHECK(history.OnlyVersionSeen("llm", kStart + seconds(59)) == "v1");
    CHECK(history.OnlyVersion("llm", kStart + seconds(60)) == "v1");
    CHECK_FALSE(history.OnlyVersion("other", kStart + seconds(60)));
  }
  SECTION("not by a part of the first list") {
    options.first_start = true;
    SoftwareHistory history(options);
    history.OnSeen({Target("a", "v1")}, kStart);
    CHECK_FALSE(history.OnlyVersion("llm", kStart));
    CHECK(history.OnlyVersionSeen("llm", kStart) == "v1");
    history.OnListed({Target("a", "v1")}, kStart + seconds(1));
    CHECK(history.OnlyVersion("llm", kStart + seconds(1)) == "v1");
  }
  SECTION("at once if nothing ran before") {
    options.first_start = true;
    SoftwareHistory history(options);
    history.OnListed({Target("a", "v1")}, kStart);
    CHECK(history.OnlyVersion("llm", kStart) == "v1");

    SECTION("not while another version is listed") {
      history.OnListed({Target("a", "v1"), Target("b", "v2")},
                       kStart + seconds(1));
      CHECK_FALSE(history.OnlyVersion("llm", kStart + seconds(1)));
      CHECK_FALSE(history.OnlyVersionSeen("llm", kStart + seconds(1)));

      SECTION("nor while a stream that it began may be alive") {
        history.OnListed({Target("b", "v2")}, kStart + seconds(2));
        CHECK_FALSE(history.OnlyVersion("llm", kStart + seconds(62)));
        CHECK(history.OnlyVersion("llm", kStart + seconds(63)) == "v2");
      }
    }
    SECTION("nor if another version was seen between two lists") {
      history.OnSeen({Target("b", "v2")}, kStart + seconds(5));
      history.OnListed({Target("a", "v1")}, kStart + seconds(5));
      CHECK_FALSE(history.OnlyVersion("llm", kStart + seconds(65)));
      CHECK(history.OnlyVersion("llm", kStart + seconds(66)) == "v1");
    }
    SECTION("nor after a time in which lists may be missing") {
      history.OnStoreLost();
      CHECK_FALSE(history.OnlyVersion("llm", kStart + seconds(1)));
      history.OnStoreFollowed(kStart + seconds(10));
      CHECK_FALSE(history.OnlyVersion("llm", kStart + seconds(69)));
      CHECK(history.OnlyVersion("llm", kStart + seconds(70)) == "v1");
    }
  }
}

}  // namespace
}  // namespace indigolead
