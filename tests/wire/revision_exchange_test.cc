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

/// Processes with links that deliver at once, or drop all messages while
/// `drop_messages` is set.
struct SimulatedNetwork {
  struct Node {
    std::unique_ptr<RevisionExchange> exchange;
    std::vector<std::uint64_t> applied;
    wire::Hello hello;
  };
  std::map<std::string, Node> nodes;
  TimePoint now{seconds(100)};
  bool drop_messages = false;

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
    if (!drop_messages) {
      to->second.exchange->HandleMessage(LinkTo(from), m, now);
    }
    return true;
  }
  void ConnectNodes(const std::string& a, const std::string& b) {
    for (const auto& name : {a, b}) {
      nodes[name].hello.clear_revisions();
      nodes[name].exchange->AddKnownRevisions(
          nodes[name].hello.mutable_revisions());
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
  SimulatedNetwork network;
  network.Add("entry-a", true);
  network.Add("entry-b", true);
  network.Add("side-1", false);
  network.ConnectNodes("entry-a", "side-1");
  network.ConnectNodes("entry-a", "entry-b");
  const auto& revision_table =
      network.nodes["entry-a"].exchange->revision_table();

  SECTION("from the store through an entry to its side, and reports back") {
    network.nodes["entry-a"].exchange->OfferFromStore(Json(1), network.now);
    CHECK(network.nodes["side-1"].applied == std::vector<std::uint64_t>{1});
    network.Tick();
    CHECK(revision_table.RolloutOf("brief-llm").everywhere());
  }
  SECTION("lists the missing processes and repeats a lost offer") {
    network.drop_messages = true;
    network.nodes["entry-a"].exchange->OfferFromStore(Json(1), network.now);
    CHECK(revision_table.RolloutOf("brief-llm").waiting_for ==
          std::vector<std::string>{"entry-b", "side-1"});
    network.drop_messages = false;
    network.Tick();
    CHECK(revision_table.RolloutOf("brief-llm").everywhere());
  }
  SECTION("an older revision from the store is ignored") {
    network.nodes["entry-a"].exchange->OfferFromStore(Json(2), network.now);
    network.nodes["entry-a"].exchange->OfferFromStore(Json(1), network.now);
    CHECK(network.nodes["side-1"].applied == std::vector<std::uint64_t>{2});
  }
  SECTION("a value that cannot be parsed is ignored") {
    network.nodes["entry-a"].exchange->OfferFromStore(Json(1), network.now);
    network.nodes["entry-a"].exchange->OfferFromStore("{", network.now);
    CHECK(revision_table.Find("brief-llm")->number == 1);
  }
}

// Covers a store outage: an entry starts without revisions and connects to a
// side that got one from another entry before the outage. The entry applies the
// revision of the side and later offers it to others.
TEST_CASE("RevisionExchange works while the store is down") {
  SimulatedNetwork network;
  network.Add("entry-a", true);
  network.Add("entry-b", true);
  network.Add("side-1", false);
  network.ConnectNodes("entry-a", "side-1");
  network.nodes["entry-a"].exchange->OfferFromStore(Json(3), network.now);

  SECTION("a starting process gets the newest revision from a peer") {
    network.ConnectNodes("entry-b", "side-1");
    CHECK(network.nodes["entry-b"].applied == std::vector<std::uint64_t>{3});
  }
  SECTION("an older revision from a peer that was cut off is ignored") {
    network.nodes["entry-b"].exchange->OfferFromStore(Json(2), network.now);
    network.ConnectNodes("entry-b", "side-1");
    CHECK(network.nodes["side-1"].applied == std::vector<std::uint64_t>{3});
    CHECK(network.nodes["entry-b"].applied == std::vector<std::uint64_t>{2, 3});
  }
}

}  // namespace
}  // namespace indigolead
