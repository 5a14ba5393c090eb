#include "tests/support/claims/claim_world.h"

#include <algorithm>

namespace indigolead {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHomes = 3;
constexpr std::size_t kEntries = 2;

ClaimHome::Options HomeOptions() {
  ClaimHome::Options options;
  // A key may run again after its retention. The property holds for retained
  // keys, so the retention is longer than every simulation.
  options.table.retention = std::chrono::hours(100);
  options.journal.retention = std::chrono::hours(100);
  options.journal.max_segment_records = 4;
  return options;
}

}  // namespace

ClaimWorld::ClaimWorld(std::uint64_t seed, Faults faults)
    : random_(seed), faults_(faults) {
  homes_.resize(kHomes);
  entries_.resize(kEntries);
  links_.assign(kHomes, std::vector<bool>(kEntries, true));
  for (std::size_t it = 0; it < kEntries; ++it) {
    StartEntry(it);
  }
  for (std::size_t it = 0; it < kHomes; ++it) {
    homes_[it].name = "side-" + std::to_string(it);
    StartHome(it);
  }
}

bool ClaimWorld::Chance(double p) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < p;
}

Id128 ClaimWorld::NextId() { return {random_(), random_()}; }

Duration ClaimWorld::Delay(int max_ms) {
  return milliseconds(std::uniform_int_distribution<int>(0, max_ms)(random_));
}

void ClaimWorld::Schedule(Duration delay, std::function<void()> run) {
  events_.emplace(now_ + delay, std::move(run));
}

void ClaimWorld::RecordViolation(const std::string& text) {
  if (violation_.empty()) {
    violation_ = text;
  }
}

void ClaimWorld::StartHome(std::size_t n) {
  Home& home = homes_[n];
  home.incarnation = Incarnation{NextId()};
  home.leaving = false;
  home.core = std::make_unique<ClaimHome>(HomeOptions(), home.name,
                                          [this] { return NextId(); });
  for (std::size_t it = 0; it < kEntries; ++it) {
    if (links_[n][it] && entries_[it].client) {
      home.core->OnEntryUp(entries_[it].incarnation);
    }
  }
}

void ClaimWorld::KillHome(std::size_t n) {
  homes_[n].core.reset();
  homes_[n].died_at = now_;
  ++counts_.home_kills;
}

void ClaimWorld::StartEntry(std::size_t n) {
  Entry& entry = entries_[n];
  entry.incarnation = Incarnation{NextId()};
  entry.client =
      std::make_unique<ClaimClient>(ClaimClient::Options{}, entry.incarnation);
  entry.witness = std::make_unique<WitnessTable>(entry.incarnation);
  for (std::size_t it = 0; it < kHomes; ++it) {
    if (links_[it][n] && homes_[it].core) {
      homes_[it].core->OnEntryUp(entry.incarnation);
    }
  }
}

void ClaimWorld::KillEntry(std::size_t n) {
  for (Home& it : homes_) {
    if (it.core) {
      it.core->OnEntryDown(entries_[n].incarnation, now_);
    }
  }
  entries_[n].client.reset();
  entries_[n].witness.reset();
  ++counts_.entry_kills;
}

void ClaimWorld::SetLink(std::size_t home, std::size_t entry, bool up) {
  if (links_[home][entry] == up) {
    return;
  }
  links_[home][entry] = up;
  if (!homes_[home].core || !entries_[entry].client) {
    return;
  }
  if (up) {
    homes_[home].core->OnEntryUp(entries_[entry].incarnation);
  } else {
    homes_[home].core->OnEntryDown(entries_[entry].incarnation, now_);
  }
}

std::size_t ClaimWorld::IndexOf(const std::string& home) const {
  const auto it =
      std::find_if(homes_.begin(), homes_.end(),
                   [&](const Home& each) { return each.name == home; });
  return static_cast<std::size_t>(it - homes_.begin());
}

void ClaimWorld::OnHome(std::size_t n, const Incarnation& incarnation,
                        std::function<void(ClaimHome&)> deliver) {
  Home& home = homes_[n];
  if (!home.core || home.incarnation != incarnation) {
    return;
  }
  if (now_ < home.paused_until) {
    // A paused process receives queued messages when it resumes.
    Schedule(home.paused_until - now_, [this, n, incarnation, deliver] {
      OnHome(n, incarnation, deliver);
    });
    return;
  }
  deliver(*home.core);
  HomeActions(n);
}

void ClaimWorld::ToHome(std::size_t entry, std::size_t n,
                        std::function<void(ClaimHome&)> deliver) {
  const int copies =
      Chance(faults_.lose) ? 0 : 1 + static_cast<int>(Chance(faults_.repeat));
  if (n >= kHomes || !links_[n][entry]) {
    return;
  }
  const Incarnation incarnation = homes_[n].incarnation;
  for (int it = 0; it < copies; ++it) {
    Schedule(Delay(60), [this, n, incarnation, deliver] {
      OnHome(n, incarnation, deliver);
    });
  }
}

void ClaimWorld::ToEntry(std::size_t home, const Incarnation& entry,
                         std::function<void(Entry&)> deliver) {
  const int copies =
      Chance(faults_.lose) ? 0 : 1 + static_cast<int>(Chance(faults_.repeat));
  for (int it = 0; it < copies; ++it) {
    Schedule(Delay(60), [this, home, entry, deliver] {
      for (std::size_t n = 0; n < kEntries; ++n) {
        if (entries_[n].client && entries_[n].incarnation == entry &&
            links_[home][n]) {
          deliver(entries_[n]);
          EntryActions(n);
        }
      }
    });
  }
}

void ClaimWorld::StoreWrite(std::size_t n, const WriteSegment& write) {
  const Incarnation incarnation = homes_[n].incarnation;
  const JournalRef ref = write.segment.ref;
  const bool lost = Chance(faults_.lose_answer);
  Schedule(Delay(40), [this, n, incarnation, write, ref, lost] {
    Result<std::uint64_t> result =
        Error{ErrorCode::kUnavailable, "put", "", ""};
    // A write in transit takes effect even if its writer has crashed.
    if (store_up_ && !homes_[n].store_cut) {
      const auto found = store_.find({ref, write.segment.number});
      const std::uint64_t held =
          found == store_.end() ? 0 : found->second.version;
      if (held != write.expected) {
        result = Error{ErrorCode::kConflict, "put", "", ""};
      } else {
        ++version_;
        store_[{ref, write.segment.number}] = {write.segment, version_};
        result = version_;
      }
    }
    if (lost) {
      result = Error{ErrorCode::kTimeout, "put", "", ""};
    }
    Schedule(Delay(40), [this, n, incarnation, ref, result] {
      OnHome(n, incarnation, [this, ref, result](ClaimHome& home) {
        home.OnWritten(ref, result, now_);
      });
    });
  });
}

void ClaimWorld::StoreRead(std::size_t n, const ReadJournal& read) {
  const Incarnation incarnation = homes_[n].incarnation;
  Schedule(Delay(40), [this, n, incarnation, read] {
    Result<std::vector<StoredSegment>> result =
        Error{ErrorCode::kUnavailable, "list", "", ""};
    if (store_up_ && !homes_[n].store_cut) {
      std::vector<StoredSegment> found;
      for (const auto& [key, stored] : store_) {
        if (key.first == read.ref) {
          found.push_back({stored.segment, stored.version});
        }
      }
      result = found;
    }
    Schedule(Delay(40), [this, n, incarnation, read, result] {
      OnHome(n, incarnation, [this, read, result](ClaimHome& home) {
        home.OnRead(read.ref, result, now_);
      });
    });
  });
}

void ClaimWorld::HomeActions(std::size_t n) {
  for (HomeAction& action : homes_[n].core->TakeActions()) {
    if (const auto* write = std::get_if<WriteSegment>(&action)) {
      counts_.takeovers += write->segment.sealed ? 1 : 0;
      StoreWrite(n, *write);
    } else if (const auto* read = std::get_if<ReadJournal>(&action)) {
      StoreRead(n, *read);
    } else if (const auto* query = std::get_if<AskWitnesses>(&action)) {
      const Incarnation incarnation = homes_[n].incarnation;
      for (const Incarnation& it : query->witnesses) {
        ToEntry(n, it, [this, n, incarnation, question = *query](Entry& entry) {
          const WitnessReply reply = entry.witness->Mark(
              question.ref, question.generation, question.mark);
          Schedule(Delay(60), [this, n, incarnation, reply] {
            OnHome(n, incarnation, [this, reply](ClaimHome& home) {
              home.OnWitness(reply, now_);
            });
          });
        });
      }
    } else if (const auto* decision = std::get_if<SendDecision>(&action)) {
      counts_.degraded_grants +=
          decision->decision.verdict == ClaimVerdict::kGranted &&
          homes_[n].core->degraded();
      ToEntry(n, decision->entry, [this, sent = *decision](Entry& entry) {
        entry.client->OnDecision(sent.request, sent.decision, now_);
      });
    } else if (const auto* ack = std::get_if<SendEndAck>(&action)) {
      ToEntry(n, ack->entry, [request = ack->request](Entry& entry) {
        entry.client->OnEndAck(request);
      });
    }
  }
}

void ClaimWorld::EntryActions(std::size_t n) {
  for (ClientAction& action : entries_[n].client->TakeActions()) {
    if (const auto* query = std::get_if<SendClaimQuery>(&action)) {
      ToHome(n, IndexOf(query->home),
             [this, sent = query->query](ClaimHome& home) {
               home.OnClaimQuery(sent, now_);
             });
    } else if (const auto* end = std::get_if<SendEndReport>(&action)) {
      ToHome(n, IndexOf(end->home),
             [this, sent = end->report](ClaimHome& home) {
               home.OnEndReport(sent, now_);
             });
    } else if (const auto* decided = std::get_if<ClaimDecided>(&action)) {
      Decided(n, *decided);
    }
  }
}

}  // namespace indigolead
