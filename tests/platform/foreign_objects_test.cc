// Tests of the platform's object store while it holds objects of other writers
// that this product cannot read.

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "core/base/bounded_json.h"
#include "platform/object_store.h"
#include "runtime/clock.h"
#include "tests/platform/support/scripted_answers.h"
#include "tests/support/scripted_server.h"
#include "wire/generated/claims.pb.h"

namespace indigolead::platform {
namespace {

using std::chrono::seconds;

constexpr seconds kDeadline{5};
constexpr int kDepth = 100000;
constexpr std::size_t kManyDigits = 5000;

std::string Reply(const std::string& body,
                  const std::string& status = "200 OK") {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// An object of another writer, as far as that writer chooses it.
struct Foreign {
  std::string what;
  std::string spec;
  std::string status = "null";
  std::string metadata = {};  ///< Further members of the metadata.
  std::string members = {};   ///< Further members of the object.
};

std::string Text(const std::string& name, int revision, const Foreign& it) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(revision) + it.metadata + R"(},"spec":)" + it.spec +
         R"(,"status":)" + it.status + it.members + "}";
}

std::string Sound(const std::string& name, int revision) {
  return Text(name, revision, {"sound", R"({"service":"app"})"});
}

std::string Lists(int depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string Objects(int depth) {
  std::string text;
  for (int n = 0; n < depth; ++n) {
    text += R"({"a":)";
  }
  return text + "1" + std::string(depth, '}');
}

/// Returns objects that no parser of JSON accepts.
std::vector<Foreign> Unparsable() {
  return {
      {"a number out of range", R"({"service":"app","slots":1e400})"},
      {"many digits", "{\"slots\":" + std::string(kManyDigits, '9') + "}"},
      {"many digits and an exponent",
       "{\"slots\":" + std::string(kManyDigits, '9') + "e400}"},
      {"half of a surrogate", R"({"service":"\ud800"})"},
      {"half of a surrogate as the spec", R"("\ud800")"},
      {"invalid UTF-8", "{\"service\":\"\xff\xfe\"}"},
      {"invalid UTF-8 as the spec", "\"\xff\xfe{\""},
      {"a control character", "{\"service\":\"a\x01\"}"},
      {"an unknown escape", R"({"service":"\q"})"},
      {"an unknown word", R"({"service":nil})"},
      {"a number out of range in the status", R"({"service":"app"})",
       R"({"limit":1e400})"},
      {"a number out of range as bytes", R"({"indigolead-bytes":1e400})"},
      {"a number out of range in the finalizers", R"({"service":"app"})",
       "null", R"(,"finalizers":[1e400])"},
      {"a number out of range in an unread field", R"({"service":"app"})",
       "null", "", R"(,"notes":1e400)"},
  };
}

/// Returns objects that would overflow the stack of a parser that recurses.
std::vector<Foreign> Deep() {
  const std::string plain = R"({"service":"app"})";
  return {
      {"nested lists", "{\"service\":" + Lists(kDepth) + "}"},
      {"nested objects", "{\"service\":" + Objects(kDepth) + "}"},
      {"lists as the spec", Lists(kDepth)},
      {"objects as the spec", Objects(kDepth)},
      {"lists as bytes", "{\"indigolead-bytes\":" + Lists(kDepth) + "}"},
      {"lists in the status", plain, "{\"limit\":" + Lists(kDepth) + "}"},
      {"objects in the status", plain, Objects(kDepth)},
      {"lists in an unread field", plain, "null", "",
       ",\"notes\":" + Lists(kDepth)},
      {"lists in the finalizers", plain, "null",
       ",\"finalizers\":" + Lists(kDepth)},
  };
}

/// Returns true if no decoder of this product accepts the value.
bool IsRejected(const std::string& value) {
  return !nlohmann::json::accept(value) &&
         !wire::SlotMap().ParseFromString(value);
}

/// A client of the store that gets the given replies in turn.
class Client {
 public:
  explicit Client(std::vector<std::string> replies)
      : server_(Scripts(replies)),
        store_(&io_, {server_.address()}, BootTimeNow, &metrics_) {}

  Result<ObjectStore::Listing> List(const std::string& prefix) {
    return Run<ObjectStore::Listing>(
        [&](auto done) { store_.List(prefix, kOptions, done); });
  }
  Result<WatchBatch> ReadChanges(const std::string& prefix) {
    return Run<WatchBatch>(
        [&](auto done) { store_.ReadChanges(prefix, 1, kOptions, done); });
  }
  Result<std::optional<StoredObject>> Get(const std::string& key) {
    return Run<std::optional<StoredObject>>(
        [&](auto done) { store_.Get(key, kOptions, done); });
  }
  Result<std::uint64_t> Put(const std::string& key) {
    return Run<std::uint64_t>(
        [&](auto done) { store_.Put(key, "{}", 3, kOptions, done); });
  }
  Result<std::uint64_t> PutStatus(const std::string& key) {
    return Run<std::uint64_t>(
        [&](auto done) { store_.PutStatus(key, "{}", kOptions, done); });
  }
  Result<Unit> Delete(const std::string& key) {
    return Run<Unit>([&](auto done) { store_.Delete(key, 4, kOptions, done); });
  }
  std::vector<std::string> requests() const { return server_.requests(); }
  std::string metrics() const { return metrics_.ToPrometheusText(); }

 private:
  static constexpr CallOptions kOptions{CallPriority::kConfig, kDeadline};

  static std::vector<testing::Script> Scripts(
      const std::vector<std::string>& replies) {
    std::vector<testing::Script> scripts;
    scripts.reserve(replies.size());
    for (const std::string& it : replies) {
      scripts.push_back(testing::Send(it));
    }
    return scripts;
  }

  template <typename T, typename Call>
  Result<T> Run(Call call) {
    std::optional<Result<T>> result;
    call([&](Result<T> it) {
      result = std::move(it);
      io_.stop();
    });
    io_.restart();
    io_.run_for(kDeadline);
    REQUIRE(result);
    return *result;
  }

  ScriptedServer server_;
  boost::asio::io_context io_;
  MetricsRegistry metrics_;
  PlatformObjectStore store_;
};

std::string ListOf(const std::vector<std::string>& objects,
                   bool has_more = false) {
  std::string items;
  for (const std::string& it : objects) {
    items += (items.empty() ? "" : ",") + it;
  }
  return R"({"items":[)" + items + R"(],"has-more":)" +
         (has_more ? "true" : "false") + R"(,"at":9})";
}

std::string Event(const std::string& object, bool deleted = false) {
  return std::string(R"({"deleted":)") + (deleted ? "true" : "false") +
         R"(,"object":)" + object + "}";
}

std::string EventsOf(const std::vector<std::string>& events) {
  std::string text;
  for (const std::string& it : events) {
    text += (text.empty() ? "" : ",") + it;
  }
  return R"({"events":[)" + text + R"(],"at":9})";
}

const std::vector<std::string>& Prefixes() {
  static const std::vector<std::string> prefixes = {
      "servers/", "entries/", "config/", "control/",
      "crashes/", "streams/", "usage/",  "slots/"};
  return prefixes;
}

void CheckList(const std::string& prefix, const Foreign& foreign) {
  const auto listing =
      Client({Reply(ListOf(
                 {Sound("a", 3), Text("bad", 4, foreign), Sound("z", 5)}))})
          .List(prefix);
  INFO((IsOk(listing) ? "" : ToString(ErrorOf(listing))));
  REQUIRE(IsOk(listing));
  const auto& objects = ValueOf(listing).objects;
  REQUIRE(objects.size() == 3);
  CHECK(objects[0] == StoredObject{prefix + "a", R"({"service":"app"})", 3});
  CHECK(objects[1].key == prefix + "bad");
  CHECK(objects[1].version == 4);
  CHECK(IsRejected(objects[1].value));
  CHECK(objects[2] == StoredObject{prefix + "z", R"({"service":"app"})", 5});
}

void CheckPages(const Foreign& foreign) {
  Client client({Reply(ListOf({Sound("a", 3), Text("bad", 4, foreign)}, true)),
                 Reply(ListOf({Sound("z", 5)}))});
  const auto listing = client.List("servers/");
  REQUIRE(IsOk(listing));
  CHECK(ValueOf(listing).objects.size() == 3);
  CHECK(client.requests().back().find("after=bad") != std::string::npos);
}

void CheckChanges(const Foreign& foreign) {
  const auto changes =
      Client(
          {Reply(EventsOf({Event(Sound("a", 6)), Event(Text("bad", 7, foreign)),
                           Event(Text("gone", 5, foreign), true),
                           Event(Sound("z", 9))}))})
          .ReadChanges("servers/");
  REQUIRE(IsOk(changes));
  const WatchBatch& batch = ValueOf(changes);
  CHECK(batch.version == 9);
  REQUIRE(batch.events.size() == 4);
  CHECK(batch.events[0] == WatchEvent{"servers/a", R"({"service":"app"})", 6});
  CHECK(batch.events[1].key == "servers/bad");
  CHECK(batch.events[1].version == 7);
  REQUIRE(batch.events[1].value);
  CHECK(IsRejected(*batch.events[1].value));
  CHECK(batch.events[2] == WatchEvent{"servers/gone", std::nullopt, 8});
  CHECK(batch.events[3] == WatchEvent{"servers/z", R"({"service":"app"})", 9});
}

void CheckSingle(const Foreign& foreign) {
  const auto object =
      Client({Reply(Text("bad", 4, foreign))}).Get("servers/bad");
  REQUIRE(IsOk(object));
  REQUIRE(ValueOf(object));
  CHECK(ValueOf(object)->key == "servers/bad");
  CHECK(ValueOf(object)->version == 4);
  CHECK(IsRejected(ValueOf(object)->value));
}

void CheckConflict(const Foreign& foreign) {
  const auto put = Client({Reply(Text("bad", 4, foreign), "409 Conflict")})
                       .Put("entries/bad");
  REQUIRE_FALSE(IsOk(put));
  CHECK(ErrorOf(put).code == ErrorCode::kConflict);
  CHECK(ErrorOf(put).detail == "4");
}

// The status belongs to other writers, also that of an own object.
void CheckWritten(const Foreign& foreign) {
  const auto put = Client({Reply(Text("bad", 4, foreign))}).Put("entries/bad");
  REQUIRE(IsOk(put));
  CHECK(ValueOf(put) == 4);
}

void CheckAll(const Foreign& foreign) {
  INFO("the object has " << foreign.what);
  SECTION("in a list: it is known as unreadable, the others hold") {
    for (const std::string& prefix : Prefixes()) {
      INFO(prefix);
      CheckList(prefix, foreign);
    }
  }
  SECTION("at the end of a page: the next page is read") {
    CheckPages(foreign);
  }
  SECTION("among changes: all have their version") { CheckChanges(foreign); }
  SECTION("read alone: it is known as unreadable") { CheckSingle(foreign); }
  SECTION("in a conflict: its version is known") { CheckConflict(foreign); }
  SECTION("as the result of a write: its version is known") {
    CheckWritten(foreign);
  }
}

// Guards against a list that is lost because one object in it is not JSON.
TEST_CASE("An object that is not JSON does not hide the other objects") {
  const std::size_t n = GENERATE(range(0, 14));
  REQUIRE(Unparsable().size() == 14);
  CheckAll(Unparsable().at(n));
}

// Guards against a stack overflow, which ends the process, again after each
// start.
TEST_CASE("A deeply nested object does not end the process") {
  const std::size_t n = GENERATE(range(0, 9));
  REQUIRE(Deep().size() == 9);
  CheckAll(Deep().at(n));
}

// Guards against a limit that differs from the one of the decoders.
TEST_CASE("An object as deep as the limit is read") {
  const int most = static_cast<int>(kMaxJsonDepth) - 1;  // The object is one.
  const std::string deepest = "{\"a\":" + Lists(most - 1) + "}";
  const auto read =
      Client({Reply(Text("x", 4, {"", deepest}))}).Get("servers/x");
  REQUIRE(IsOk(read));
  CHECK(ValueOf(read)->value == deepest);
  const auto deeper =
      Client({Reply(Text("x", 4, {"", Lists(most + 1)}))}).Get("servers/x");
  REQUIRE(IsOk(deeper));
  CHECK(IsRejected(ValueOf(deeper)->value));
}

// Guards against a list that is lost because of an object without a name.
TEST_CASE("An object without a readable name is left out") {
  const std::string name =
      GENERATE(R"("name":"\ud800",)", R"("name":"",)", R"("name":7,)", "",
               "\"name\":\"\xff\",", R"("name":["a"],)");
  const std::string nameless =
      "{\"metadata\":{" + name + R"("revision":4},"spec":{}})";
  CAPTURE(nameless);
  SECTION("from a list and its pages") {
    Client client({Reply(ListOf({Sound("a", 3), nameless}, true)),
                   Reply(ListOf({Sound("z", 5)}))});
    const auto listing = client.List("servers/");
    REQUIRE(IsOk(listing));
    CHECK(ValueOf(listing).objects.size() == 2);
    CHECK(client.requests().back().find("after=a") != std::string::npos);
  }
  SECTION("from changes, which keep their versions") {
    const auto changes =
        Client({Reply(EventsOf({Event(Sound("a", 7)), Event(nameless),
                                Event(Sound("z", 9))}))})
            .ReadChanges("servers/");
    REQUIRE(IsOk(changes));
    REQUIRE(ValueOf(changes).events.size() == 2);
    CHECK(ValueOf(changes).events[0].version == 7);
    CHECK(ValueOf(changes).events[1].version == 9);
  }
  SECTION("but a page of such objects alone ends the list with an error") {
    const auto listing =
        Client({Reply(ListOf({nameless}, true))}).List("servers/");
    CHECK_FALSE(IsOk(listing));
  }
}

// Guards against a list that is lost because of an object without a revision.
TEST_CASE("An object without a readable revision is unreadable") {
  const std::string revision =
      GENERATE(R"(,"revision":"4")", R"(,"revision":-1)",
               R"(,"revision":99999999999999999999999)", "");
  const std::string object =
      R"({"metadata":{"name":"bad")" + revision + R"(},"spec":{}})";
  CAPTURE(object);
  const auto listing =
      Client({Reply(ListOf({Sound("a", 3), object}))}).List("servers/");
  REQUIRE(IsOk(listing));
  REQUIRE(ValueOf(listing).objects.size() == 2);
  CHECK(ValueOf(listing).objects[1].key == "servers/bad");
  CHECK(IsRejected(ValueOf(listing).objects[1].value));
}

// Guards against a request of the next page that a name has changed.
TEST_CASE("The name after which a list continues is escaped") {
  Client client({Reply(ListOf({Text("b c&d\\r\\n", 3, {"", "{}"})}, true)),
                 Reply(ListOf({Sound("z", 5)}))});
  const auto listing = client.List("servers/");
  REQUIRE(IsOk(listing));
  CHECK(ValueOf(listing).objects.size() == 2);
  CHECK(client.requests().back().find("after=b%20c%26d%0D%0A HTTP") !=
        std::string::npos);
}

// Guards against requests to the store that a name of another writer changes,
// for instance when an entry shares the limit of a target of that name.
TEST_CASE("A key in a request to the store is escaped") {
  const std::string key = "servers/b c?x=1\r\nDELETE /";
  const std::string escaped =
      "/api/objects/servers/b%20c%3Fx%3D1%0D%0ADELETE%20/";
  Client client({Reply(Text("x", 4, {"", "{}"}))});
  SECTION("to read an object") {
    CHECK(IsOk(client.Get(key)));
    CHECK(client.requests().at(0).starts_with("GET " + escaped + " HTTP"));
  }
  SECTION("to write a status") {
    CHECK(IsOk(client.PutStatus(key)));
    CHECK(
        client.requests().at(0).starts_with("PUT " + escaped + "/status HTTP"));
  }
  SECTION("to delete an object") {
    CHECK(IsOk(client.Delete(key)));
    CHECK(client.requests().at(0).starts_with("DELETE " + escaped +
                                              "?revision=4 HTTP"));
  }
}

// Guards against a reply cut off or mixed up that is taken for a short one.
TEST_CASE("A reply whose own members are unsound is an error") {
  SECTION("of a list") {
    const std::string body = GENERATE(
        "", "{", "[]", R"({"items":[]})", R"({"items":{},"at":9})",
        R"({"items":[],"at":"9"})", R"({"items":[],"at":9)",
        R"({"items":[],"at":9,"has-more":7})", R"({"items":[],"at":9}x)",
        R"({"items":[{},],"at":9})", R"({"items":[{"metadata)",
        R"({"items":[] "at":9})", R"({"at":9})", R"({"items":[,],"at":9})");
    CAPTURE(body);
    const auto listing = Client({Reply(body)}).List("servers/");
    REQUIRE_FALSE(IsOk(listing));
    CHECK(ErrorOf(listing).code == ErrorCode::kProtocol);
  }
  SECTION("of changes") {
    const std::string body =
        GENERATE(R"({"events":[]})", R"({"events":[{}],"at":9})",
                 R"({"events":[{"deleted":1,"object":{}}],"at":9})",
                 R"({"events":[{"deleted":false}],"at":9})", R"({"at":9})");
    CAPTURE(body);
    const auto changes = Client({Reply(body)}).ReadChanges("servers/");
    REQUIRE_FALSE(IsOk(changes));
    CHECK(ErrorOf(changes).code == ErrorCode::kProtocol);
  }
}

// Guards against sound objects that decoders see in another form than stored.
TEST_CASE("A sound object is handed on as it was written") {
  const auto read = [](const Foreign& foreign) {
    const auto object = Client({Reply(Text("x", 4, foreign))}).Get("servers/x");
    REQUIRE(IsOk(object));
    REQUIRE(ValueOf(object));
    return ValueOf(object)->value;
  };
  CHECK(read({"", R"("a \"text\" of \u00e9")"}) == "a \"text\" of \xc3\xa9");
  CHECK(read({"", R"({"indigolead-bytes":"AP8="})"}) ==
        std::string("\x00\xff", 2));
  CHECK(read({"", R"({"indigolead-bytes":"no base64"})"}) ==
        R"({"indigolead-bytes":"no base64"})");
  CHECK(read({"", "null"}) == "null");
  CHECK(read({"", "[1,2]", R"({"limit":1})"}) == "[1,2]");
  CHECK(nlohmann::json::parse(
            read({"", R"({"a":1,"status":0})", R"({"limit":1})"})) ==
        nlohmann::json{{"a", 1}, {"status", {{"limit", 1}}}});
  CHECK(nlohmann::json::parse(read({"", "{ }", R"({"limit":1})"})) ==
        nlohmann::json{{"status", {{"limit", 1}}}});
  CHECK(nlohmann::json::parse(read({"", R"({"a":1})", "[]"})) ==
        nlohmann::json{{"a", 1}});
}

// An object of another writer holds invalid UTF-8. The parser rejects the whole
// response because of it, so every target would be lost.
TEST_CASE("An object with invalid UTF-8 does not hide the other objects") {
  const std::string body =
      R"({"items":[{"metadata":{"name":"x","revision":4},"spec":"\xff\xfe{"},)"
      R"({"metadata":{"name":"y","revision":5},"spec":{"service":"app"}}],)"
      R"("has-more":false,"at":9})";
  std::string raw = body;
  raw.replace(raw.find("\\xff\\xfe"), 8, "\xff\xfe");
  const auto listing = Client({Reply(raw)}).List("servers/");
  REQUIRE(IsOk(listing));
  const auto& objects = ValueOf(listing).objects;
  REQUIRE(objects.size() == 2);
  CHECK(objects[0].key == "servers/x");
  CHECK(objects[1].key == "servers/y");
  CHECK(objects[1].value == R"({"service":"app"})");
}

}  // namespace
}  // namespace indigolead::platform
