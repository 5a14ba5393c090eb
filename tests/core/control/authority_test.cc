#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "tests/support/control_simulation.h"

namespace indigolead::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ControlSimulation::Options FaultFreeOptions(bool engines_check) {
  ControlSimulation::Options options;
  options.engines_check_fencing = engines_check;
  return options;
}

bool AllAt(const ControlSimulation& simulation, int sides,
           const std::string& version) {
  for (int i = 0; i < sides; ++i) {
    if (simulation.engine(i).state.version != version ||
        simulation.engine(i).changing) {
      return false;
    }
  }
  return true;
}

/// Injects one fault, chosen by `choice`.
void InjectFault(ControlSimulation* simulation, std::uint64_t choice) {
  const int which = static_cast<int>(choice / 16 % 4);
  switch (choice % 8) {
    case 0:
      simulation->PauseEntry(which % 2, seconds(1 + choice / 64 % 20));
      break;
    case 1:
      simulation->RestartSide(which);
      break;
    case 2:
      simulation->CrashEngine(which);
      break;
    case 3:
      simulation->DisconnectEntry(which % 2, true);
      break;
    case 4:
      simulation->DisconnectEntry(0, false);
      simulation->DisconnectEntry(1, false);
      break;
    case 5:
      simulation->SetStoreDown(true);
      break;
    default:
      simulation->SetStoreDown(false);
      break;
  }
}

// Runs two controllers and four sides under random faults while revisions are
// accepted: entries are paused or disconnected, sides restart, engines crash,
// the store is unavailable, and answers and messages are lost, delayed or
// repeated. An engine must only ever take the state ordered by the current
// lease holder and never an earlier one. After the faults end, every engine
// must have the newest revision.
TEST_CASE("Engines follow only the lease holder under random faults") {
  rc::detail::TestParams params;
  params.seed = 20;
  params.maxSuccess = 300;
  rc::detail::TestMetadata metadata;
  metadata.id = "authority";
  const auto property = [] {
    ControlSimulation::Options options;
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    options.engines_check_fencing = *rc::gen::arbitrary<bool>();
    options.faults = {0.1, 0.1, 0.1, 0.2, 0.2};
    ControlSimulation simulation(options);
    std::uint64_t revision = 1;
    const auto fault_choices = *rc::gen::container<std::vector<std::uint64_t>>(
        12, rc::gen::arbitrary<std::uint64_t>());
    for (const std::uint64_t choice : fault_choices) {
      simulation.Run(seconds(1 + choice / 1024 % 8));
      if (choice % 3 == 0) {
        ++revision;
        simulation.Accept(revision, std::to_string(revision));
      }
      InjectFault(&simulation, choice);
    }
    simulation.SetStoreDown(false);
    simulation.DisconnectEntry(0, false);
    simulation.DisconnectEntry(1, false);
    simulation.SetFaults({});
    simulation.Run(seconds(120));
    for (const std::string& violation : simulation.violations()) {
      RC_FAIL(violation);
    }
    RC_ASSERT(AllAt(simulation, 4, std::to_string(revision)));
  };
  const auto result = rc::detail::checkTestable(property, metadata, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  CHECK(result.is<rc::detail::SuccessResult>());
}

// The holder is paused between its decision and the moment at which its write
// reaches the store. Meanwhile its lease lapses, and the other entry takes over
// and gives a different order. The late write must either fail, because the new
// holder has rewritten the order, or be void, because its fencing number was
// superseded. No engine may apply it, whether or not the engine checks fencing
// numbers.
TEST_CASE("A holder paused between decision and send has no effect") {
  const bool engines_check = GENERATE(true, false);
  CAPTURE(engines_check);
  ControlSimulation simulation(FaultFreeOptions(engines_check));
  simulation.Run(seconds(20));
  REQUIRE(simulation.Holders().size() == 1);
  const int holder = simulation.Holders()[0];
  REQUIRE(AllAt(simulation, 4, "1"));

  SECTION("the new holder has rewritten the order of the target") {
    simulation.BeforeNextOrderWrite([&](int entry) {
      simulation.PauseEntry(entry, seconds(60));
      simulation.Run(seconds(30));
    });
    simulation.Accept(2, "2");
    simulation.Run(seconds(90));
    CHECK(simulation.violations() == std::vector<std::string>{});
    CHECK(AllAt(simulation, 4, "2"));
    CHECK(simulation.Holders() != std::vector<int>{holder});
  }
  SECTION("the new holder has not rewritten the order of the target yet") {
    // No side learns the new fencing number, so only the version of the order
    // shows that it was written too late.
    ControlFaults faults;
    faults.lose_notice = 1;
    simulation.SetFaults(faults);
    simulation.BeforeNextOrderWrite([&](int entry) {
      simulation.PauseEntry(entry, seconds(60));
      for (int i = 0; i < 600; ++i) {
        simulation.Run(milliseconds(50));
        if (simulation.Holders() == std::vector<int>{1 - holder}) {
          return;
        }
      }
      FAIL("the other entry did not take over in 30 s");
    });
    simulation.Accept(2, "2");
    simulation.Run(seconds(90));
    CHECK(simulation.violations() == std::vector<std::string>{});
    CHECK(AllAt(simulation, 4, "2"));
  }
}

// An entry is disconnected from the store but not from the sides, and holds an
// order that was replaced long ago. An instance is replaced, so neither its
// side nor its engine knows any order. The entry must not send it the old one.
TEST_CASE("An entry with an outdated order does not send it to a new side") {
  const bool engines_check = GENERATE(true, false);
  CAPTURE(engines_check);
  ControlSimulation simulation(FaultFreeOptions(engines_check));
  simulation.Run(seconds(20));
  REQUIRE(simulation.Holders().size() == 1);
  const int other = 1 - simulation.Holders()[0];
  simulation.DisconnectFromStore(other, true);
  simulation.Accept(2, "2");
  simulation.Run(seconds(30));
  REQUIRE(AllAt(simulation, 4, "2"));
  for (int side = 0; side < 4; ++side) {
    simulation.RestartSide(side);
    simulation.CrashEngine(side);
  }
  simulation.Run(seconds(60));
  CHECK(simulation.violations() == std::vector<std::string>{});
  CHECK(AllAt(simulation, 4, "2"));
}

struct Fault {
  std::string name;
  std::function<void(ControlSimulation*, int holder)> strike;
};

struct Moment {
  std::string name;
  std::function<void(ControlSimulation*)> reach;
};

// The controller is killed, paused or disconnected before the order is written,
// after that, or while the engine changes. In each case the other entry must
// take over and bring each engine to the revision, no order may be issued twice
// with different content, and none may take effect under an old fencing number.
TEST_CASE("A controller that fails during an order is replaced") {
  const std::vector<Fault> faults = {
      {"killed",
       [](ControlSimulation* simulation, int holder) {
         simulation->PauseEntry(holder, std::chrono::hours(1));
       }},
      {"paused",
       [](ControlSimulation* simulation, int holder) {
         simulation->PauseEntry(holder, seconds(15));
       }},
      {"partitioned",
       [](ControlSimulation* simulation, int holder) {
         simulation->DisconnectEntry(holder, true);
       }},
  };
  const std::vector<Moment> moments = {
      {"before the order is written", [](ControlSimulation*) {}},
      {"after it is written",
       [](ControlSimulation* simulation) {
         for (int i = 0; i < 400; ++i) {
           simulation->Run(milliseconds(50));
           for (int side = 0; side < 4; ++side) {
             if (simulation->StoredOrderOf(side)->desired.version == "2") {
               return;
             }
           }
         }
         FAIL("no order was written in 20 s");
       }},
      {"while the engine changes",
       [](ControlSimulation* simulation) {
         for (int i = 0; i < 400; ++i) {
           simulation->Run(milliseconds(50));
           for (int side = 0; side < 4; ++side) {
             if (simulation->engine(side).changing) {
               return;
             }
           }
         }
         FAIL("no engine began to change in 20 s");
       }},
  };
  for (const bool check : {true, false}) {
    for (const Fault& fault : faults) {
      for (const Moment& moment : moments) {
        CAPTURE(fault.name, moment.name, check);
        ControlSimulation simulation(FaultFreeOptions(check));
        simulation.Run(seconds(20));
        REQUIRE(simulation.Holders().size() == 1);
        const int holder = simulation.Holders()[0];
        simulation.Accept(2, "2");
        moment.reach(&simulation);
        fault.strike(&simulation, holder);
        simulation.Run(seconds(90));
        CHECK(simulation.violations() == std::vector<std::string>{});
        CHECK(AllAt(simulation, 4, "2"));
        CHECK(simulation.Holders() == std::vector<int>{1 - holder});
      }
    }
  }
}

struct StoreFault {
  std::string name;
  std::function<void(ControlSimulation*, bool on)> turn;
};

ControlFaults Only(double ControlFaults::*fault, bool on) {
  ControlFaults faults;
  faults.*fault = on ? 1.0 : 0.0;
  return faults;
}

// The store fails for 30 s in one way for all processes, while the lease is
// renewed, while an order is given, or while the entries start. In each case
// nothing wrong may happen meanwhile. One minute after the fault ends, exactly
// one entry must hold the lease and every engine must have the revision.
TEST_CASE("The store fails during a lease renewal, an order or a start") {
  const std::vector<StoreFault> faults = {
      {"down", [](ControlSimulation* simulation,
                  bool on) { simulation->SetStoreDown(on); }},
      {"slow",
       [](ControlSimulation* simulation, bool on) {
         simulation->SetFaults(Only(&ControlFaults::slow_effect, on));
       }},
      {"write answer lost",
       [](ControlSimulation* simulation, bool on) {
         simulation->SetFaults(Only(&ControlFaults::lose_answer, on));
       }},
      {"stale read",
       [](ControlSimulation* simulation, bool on) {
         simulation->SetFaults(Only(&ControlFaults::stale_read, on));
       }},
      {"watch silent", [](ControlSimulation* simulation,
                          bool on) { simulation->SetWatchesSilent(on); }},
  };
  for (const StoreFault& fault : faults) {
    for (const std::string when : {"lease renewal", "order", "start"}) {
      CAPTURE(fault.name, when);
      ControlSimulation simulation(FaultFreeOptions(true));
      if (when != "start") {
        simulation.Run(seconds(20));
        REQUIRE(simulation.Holders().size() == 1);
      }
      if (when == "order") {
        simulation.Accept(2, "2");
        simulation.Run(milliseconds(500));
      }
      fault.turn(&simulation, true);
      simulation.Run(seconds(30));
      fault.turn(&simulation, false);
      simulation.Run(seconds(60));
      CHECK(simulation.violations() == std::vector<std::string>{});
      CHECK(simulation.Holders().size() == 1);
      CHECK(AllAt(simulation, 4, when == "order" ? "2" : "1"));
    }
  }
}

// While the store is unavailable for long, no order may be written and no
// engine may change. When it returns, exactly one controller must act.
TEST_CASE("No order is written during a long store outage") {
  ControlSimulation simulation(FaultFreeOptions(true));
  simulation.Run(seconds(20));
  const auto effects = simulation.effects().size();
  simulation.SetStoreDown(true);
  simulation.Accept(2, "2");
  simulation.Run(seconds(300));
  CHECK(simulation.Holders().empty());
  CHECK(simulation.effects().size() == effects);
  simulation.SetStoreDown(false);
  simulation.Run(seconds(60));
  CHECK(simulation.Holders().size() == 1);
  CHECK(AllAt(simulation, 4, "2"));
  CHECK(simulation.effects().size() == effects + 4);
  CHECK(simulation.violations() == std::vector<std::string>{});
}

}  // namespace
}  // namespace indigolead::testing
