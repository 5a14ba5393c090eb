#include "wire/revision_exchange.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/config/revision_json.h"

namespace indigolead {
namespace {

using std::chrono::seconds;

std::string Json(std::uint64_t number) {
  Revision revision;
  revision.number = number;
  revision.spec.name = "brief-llm";
  revision.spec.path_prefix = "/" + std::to_string(number);
  revision.digest = SpecDigest(revision.spec);
  return ToJson(revision);
}

/// Processes with links that deliver at once, or drop all messages while `lose`
/// is set.
struct Net {
  struct Node {
    std::unique_ptr<RevisionExchange> exchange;
    std::vector<std::uint64_t> applied;
    wire::Hello hello;
  };
  std::map<std::string, Node> nodes;
  TimePoint now{seconds(100)};
  bool lose = false;

  void Add(const std::string& name, bool is_entry) {
    Node& node = nodes[name];
    const Incarnation run{{nodes.size(), 1}};
    node.hello.set_instance(name);
    node.hello.set_kind(is_entry ? wire::PROCESS_ENTRY : wire::PROCESS_SIDE);
    node.hello.set_incarnation(ToBytes(run.value));
    RevisionExchange::Options options;
    options.instance = name;
    options.incarnation = run;
    if (!is_entry) {
      options.deployment = "brief-llm";
      node.hello.mutable_target()->set_deployment("brief-llm");
    }
    node.applied.clear();
    node.exchange = std::make_unique<RevisionExchange>(
        options,
        RevisionExchange::Hooks{
            [this, name](LinkId link, const wire::Envelope& message) {
              return Send(name, link, message);
            },
            [this, name](const Revision& revision) {
              nodes[name].applied.push_back(revision.number);
            }},
        MakeNullEventLog());
  }

  // The id of a link is the index of the node at its other end.
  LinkId LinkTo(const std::string& name) {
    return LinkId{static_cast<std::uint64_t>(
        std::distance(nodes.begin(), nodes.find(name)))};
  }
  bool Send(const std::string& from, LinkId link, const wire::Envelope& m) {
    auto to = std::next(nodes.begin(), static_cast<std::int64_t>(link.value));
    if (!lose) {
      to->second.exchange->HandleMessage(LinkTo(from), m, now);
    }
    return true;
  }
  void Join(const std::string& a, const std::string& b) {
    for (const auto& name : {a, b}) {
      nodes[name].hello.clear_revisions();
      nodes[name].exchange->FillKnown(nodes[name].hello.mutable_revisions());
    }
    nodes[a].exchange->OnLinkUp(LinkTo(b), nodes[b].hello, now);
    nodes[b].exchange->OnLinkUp(LinkTo(a), nodes[a].hello, now);
    Tick();
  }
  void Tick() {
    now += seconds(2);
    for (auto& [name, node] : nodes) {
      node.exchange->Tick(now);
    }
  }
};

TEST_CASE("RevisionExchange distributes a revision to every process") {
  Net net;
  net.Add("entry-a", true);
  net.Add("entry-b", true);
  net.Add("side-1", false);
  net.Join("entry-a", "side-1");
  net.Join("entry-a", "entry-b");
  const auto& book = net.nodes["entry-a"].exchange->book();

  SECTION("from the store through an entry to its side, and reports back") {
    net.nodes["entry-a"].exchange->OfferFromStore(Json(1), net.now);
    CHECK(net.nodes["side-1"].applied == std::vector<std::uint64_t>{1});
    net.Tick();
    CHECK(book.RolloutOf("brief-llm").everywhere());
  }
  SECTION("lists the missing processes and repeats a lost offer") {
    net.lose = true;
    net.nodes["entry-a"].exchange->OfferFromStore(Json(1), net.now);
    CHECK(book.RolloutOf("brief-llm").waiting_for ==
          std::vector<std::string>{"entry-b", "side-1"});
    net.lose = false;
    net.Tick();
    CHECK(book.RolloutOf("brief-llm").everywhere());
  }
  SECTION("an older revision from the store is ignored") {
    net.nodes["entry-a"].exchange->OfferFromStore(Json(2), net.now);
    net.nodes["entry-a"].exchange->OfferFromStore(Json(1), net.now);
    CHECK(net.nodes["side-1"].applied == std::vector<std::uint64_t>{2});
  }
  SECTION("a value that cannot be parsed is ignored") {
    net.nodes["entry-a"].exchange->OfferFromStore(Json(1), net.now);
    net.nodes["entry-a"].exchange->OfferFromStore("{", net.now);
    CHECK(book.Find("brief-llm")->number == 1);
  }
}

// Covers a store outage: an entry starts without revisions and connects to a
// side that got one from another entry before the outage. The entry applies the
// revision of the side and later offers it to others.
TEST_CASE("RevisionExchange works while the store is down") {
  Net net;
  net.Add("entry-a", true);
  net.Add("entry-b", true);
  net.Add("side-1", false);
  net.Join("entry-a", "side-1");
  net.nodes["entry-a"].exchange->OfferFromStore(Json(3), net.now);

  SECTION("a starting process gets the newest revision from a peer") {
    net.Join("entry-b", "side-1");
    CHECK(net.nodes["entry-b"].applied == std::vector<std::uint64_t>{3});
  }
  SECTION("an older revision from a peer that was cut off is ignored") {
    net.nodes["entry-b"].exchange->OfferFromStore(Json(2), net.now);
    net.Join("entry-b", "side-1");
    CHECK(net.nodes["side-1"].applied == std::vector<std::uint64_t>{3});
    CHECK(net.nodes["entry-b"].applied == std::vector<std::uint64_t>{2, 3});
  }
}

}  // namespace
}  // namespace indigolead
