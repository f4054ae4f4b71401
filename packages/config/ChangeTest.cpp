#include "config/Change.h"

#include "config/HeadRepair.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace chervil;
using namespace chervil::config;
using namespace std::chrono_literals;

namespace {

constexpr const char *Customer = "norte-brigadas";

Contract terms(std::uint32_t streams) {
  Contract c;
  c.Customer = Customer;
  c.Keys = {"plain-token-for-test"};
  c.Limits = {10, 1000, streams};
  return c;
}

Now at(int ms) {
  return {TimePoint(std::chrono::milliseconds(ms)), WallTime(std::chrono::milliseconds(ms))};
}

// Fake key-value service that keeps every value ever written.
struct KeyValue {
  struct Value {
    std::uint64_t Revision = 0;
    std::string Body;
  };
  std::map<std::string, Value> Values;
  std::uint64_t Revision = 0;
  std::vector<std::string> Contracts;
  std::vector<std::string> Heads;

  ReadAnswer read(const ReadKey &call) const {
    const auto it = Values.find(call.Key);
    if (it == Values.end())
      return {call.Call, ReadStatus::Absent, 0, ""};
    return {call.Call, ReadStatus::Found, it->second.Revision, it->second.Body};
  }

  WriteAnswer write(const CompareAndSwap &call) {
    Value &value = Values[call.Key];
    if (value.Revision != call.Revision)
      return {call.Call, WriteStatus::Conflict};
    value = {++Revision, call.Body};
    (call.Key == HeadKey ? Heads : Contracts).push_back(call.Body);
    return {call.Call, WriteStatus::Ok};
  }

  std::uint64_t version() const {
    const auto it = Values.find(contractKey(Customer));
    return it == Values.end() ? 0 : parseVersionedContract(it->second.Body)->Change.Version;
  }
};

// Performs the calls of a change, without delay or loss, until it ends.
ChangeEffect runToEnd(ChangeState &state, ChangeEffect effect, KeyValue &kv, Random &rng) {
  for (;;) {
    KeyValueAnswer answer;
    if (const auto *read = std::get_if<ReadKey>(&effect))
      answer = kv.read(*read);
    else if (const auto *write = std::get_if<CompareAndSwap>(&effect))
      answer = kv.write(*write);
    else
      return effect;
    effect = *onChangeAnswer(state, answer, rng);
  }
}

// An operator that makes one change, and repeats it once if the first run does not end.
struct Operator {
  ChangeRequest Request;
  ChangeState State;
  std::optional<ChangeEffect> Next;
  int RunsLeft = 2;
};

// Ids of changes by reported outcome.
struct Outcomes {
  std::set<std::string> Accepted;
  std::set<std::string> Conflicts;
  int Unavailable = 0;
};

// Several operators change one contract concurrently. In each step a random operator makes its next
// call, and a random delayed write may arrive. Calls are lost before or after they take effect, or
// take effect after the caller has stopped waiting.
struct Race {
  KeyValue Kv;
  Random Rng;
  double Loss;
  std::vector<Operator> Operators;
  std::vector<CompareAndSwap> Delayed;
  Outcomes Result;

  bool happens(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(Rng) < probability;
  }

  std::size_t pick(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(Rng);
  }

  void start(Operator &op) {
    op.Next = *startChange(op.State, op.Request, at(1000));
    --op.RunsLeft;
  }

  void step(Operator &op) {
    if (happens(0.01)) { // The operator's process stops; another run repeats the change.
      op.Next.reset();
      return;
    }
    KeyValueAnswer answer;
    if (const auto *read = std::get_if<ReadKey>(&*op.Next)) {
      answer =
          happens(Loss) ? ReadAnswer{read->Call, ReadStatus::Unavailable, 0, ""} : Kv.read(*read);
    } else if (const auto *write = std::get_if<CompareAndSwap>(&*op.Next)) {
      answer = WriteAnswer{write->Call, happens(0.5) ? WriteStatus::Lost : WriteStatus::Timeout};
      if (!happens(Loss))
        answer = Kv.write(*write);
      else if (happens(0.4))
        Kv.write(*write);
      else if (happens(0.7))
        Delayed.push_back(*write);
    }
    op.Next = onChangeAnswer(op.State, answer, Rng);
    if (const auto *accepted = std::get_if<ChangeAccepted>(&*op.Next)) {
      RC_ASSERT(accepted->Version == op.Request.BaseVersion + 1);
      Result.Accepted.insert(op.Request.Id);
      op.RunsLeft = 0;
      op.Next.reset();
    } else if (std::holds_alternative<ChangeConflict>(*op.Next)) {
      Result.Conflicts.insert(op.Request.Id);
      op.RunsLeft = 0;
      op.Next.reset();
    } else if (std::holds_alternative<ChangeUnavailable>(*op.Next)) {
      ++Result.Unavailable;
      op.Next.reset();
    }
  }

  void run(std::size_t changes, std::size_t parallel) {
    std::size_t begun = 0;
    while (begun < changes || !Operators.empty()) {
      while (begun < changes && Operators.size() < parallel) {
        Operator op;
        op.Request = {"change-" + std::to_string(begun++), "ana", Kv.version(),
                      terms(1 + static_cast<std::uint32_t>(begun))};
        Operators.push_back(op);
        start(Operators.back());
      }
      if (!Delayed.empty() && happens(0.2)) {
        const std::size_t i = pick(Delayed.size());
        Kv.write(Delayed[i]);
        Delayed.erase(Delayed.begin() + static_cast<std::ptrdiff_t>(i));
      }
      const std::size_t i = pick(Operators.size());
      Operator &op = Operators[i];
      if (op.Next)
        step(op);
      else if (op.RunsLeft > 0)
        start(op);
      else
        Operators.erase(Operators.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const CompareAndSwap &it : Delayed)
      Kv.write(it);
  }
};

// Checks the reported outcomes against all values that were written.
void checkHistory(const Race &race) {
  std::map<std::string, int> written;
  std::uint64_t version = 0;
  for (const std::string &body : race.Kv.Contracts) {
    const auto document = parseVersionedContract(body);
    RC_ASSERT(document.has_value());
    RC_ASSERT(document->Change.Version == version + 1);
    version = document->Change.Version;
    ++written[document->Change.Id];
  }
  Head last;
  for (const std::string &body : race.Kv.Heads) {
    const auto head = parseHead(body);
    RC_ASSERT(head.has_value());
    RC_ASSERT(head->Version > last.Version);
    RC_ASSERT(acceptedVersion(*head, Customer) > acceptedVersion(last, Customer));
    last = *head;
  }
  for (const auto &[id, times] : written)
    RC_ASSERT(times == 1);
  for (const std::string &id : race.Result.Accepted)
    RC_ASSERT(written.contains(id));
  for (const std::string &id : race.Result.Conflicts)
    RC_ASSERT(!written.contains(id));
  if (race.Kv.Contracts.empty())
    return;
  const auto final = parseVersionedContract(race.Kv.Contracts.back());
  for (const std::string &id : race.Result.Accepted) {
    const ContractChange *change = findChange(*final, id);
    RC_ASSERT(change != nullptr);
    RC_ASSERT(change->Version <= acceptedVersion(last, Customer));
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Changes)

// Guards against a change that is accepted but lost, written twice, or reported as a conflict but
// written, when operators race and calls are lost, delayed or repeated by a second run.
BOOST_AUTO_TEST_CASE(RacingOperatorsAgreeWithTheHistory) {
  std::size_t accepted = 0;
  std::size_t conflicts = 0;
  int unavailable = 0;
  BOOST_TEST(rc::check("racing operators", [&] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto parallel = *rc::gen::inRange<std::size_t>(1, 6);
    const double loss = *rc::gen::element(0.0, 0.1, 0.3, 0.6, 0.9);
    for (std::uint64_t i = 0; i < 20; ++i) {
      Race race;
      race.Rng.seed(seed + i);
      race.Loss = loss;
      race.run(25, parallel);
      checkHistory(race);
      accepted += race.Result.Accepted.size();
      conflicts += race.Result.Conflicts.size();
      unavailable += race.Result.Unavailable;
    }
  }));
  BOOST_TEST_MESSAGE("accepted " << accepted << ", conflicts " << conflicts << ", unavailable "
                                 << unavailable);
  // The property holds trivially if an outcome never occurs.
  BOOST_TEST(accepted > 1000U);
  BOOST_TEST(conflicts > 1000U);
  BOOST_TEST(unavailable > 100);
}

// Guards against a change that is reported as accepted but that the head does not name.
BOOST_AUTO_TEST_CASE(AcceptedOnlyWhenTheHeadNamesIt) {
  KeyValue kv;
  Random rng(1);
  ChangeState state;
  const auto first = startChange(state, {"c1", "ana", 0, terms(5)}, at(1000));
  BOOST_REQUIRE(first.has_value());
  const ChangeEffect end = runToEnd(state, *first, kv, rng);
  BOOST_REQUIRE(std::holds_alternative<ChangeAccepted>(end));
  BOOST_TEST(acceptedVersion(*parseHead(kv.Values[HeadKey].Body), Customer) == 1U);
  const auto document = parseVersionedContract(kv.Values[contractKey(Customer)].Body);
  BOOST_TEST(document->Change.Author == "ana");
  BOOST_TEST((document->Terms == terms(5)));
}

// Guards against a repeated change that makes a second version.
BOOST_AUTO_TEST_CASE(RepeatedChangeIsRecognised) {
  KeyValue kv;
  Random rng(1);
  for (int i = 0; i < 2; ++i) {
    ChangeState state;
    const ChangeEffect end =
        runToEnd(state, *startChange(state, {"c1", "ana", 0, terms(5)}, at(1000 + i)), kv, rng);
    BOOST_REQUIRE(std::holds_alternative<ChangeAccepted>(end));
    BOOST_TEST(std::get<ChangeAccepted>(end).Version == 1U);
  }
  BOOST_TEST(kv.Contracts.size() == 1U);
}

// Guards against a conflict report without the proposed and the stored terms, which the operator
// compares.
BOOST_AUTO_TEST_CASE(ConflictShowsBothVersions) {
  KeyValue kv;
  Random rng(1);
  ChangeState state;
  runToEnd(state, *startChange(state, {"c1", "ana", 0, terms(5)}, at(1)), kv, rng);
  const ChangeEffect end =
      runToEnd(state, *startChange(state, {"c2", "rui", 0, terms(6)}, at(2)), kv, rng);
  BOOST_REQUIRE(std::holds_alternative<ChangeConflict>(end));
  const auto &conflict = std::get<ChangeConflict>(end);
  BOOST_TEST(conflict.Proposed.Limits.Streams == 6U);
  BOOST_REQUIRE(conflict.Current.has_value());
  BOOST_TEST(conflict.Current->Terms.Limits.Streams == 5U);
  BOOST_TEST(conflict.Current->Change.Author == "ana");
}

// Guards against reporting a conflict when the history no longer shows which change made the
// version after the base: the change may have taken effect.
BOOST_AUTO_TEST_CASE(ChangeBeyondTheHistoryIsNotAConflict) {
  KeyValue kv;
  Random rng(1);
  ChangeState state;
  for (std::uint64_t i = 0; i < HistoryLength + 2; ++i) {
    const std::string id = "c" + std::to_string(i);
    runToEnd(state, *startChange(state, {id, "ana", i, terms(5)}, at(1)), kv, rng);
  }
  const ChangeEffect end =
      runToEnd(state, *startChange(state, {"c0", "ana", 0, terms(5)}, at(1)), kv, rng);
  BOOST_REQUIRE(std::holds_alternative<ChangeUnavailable>(end));
  BOOST_TEST((std::get<ChangeUnavailable>(end).Cause.Code == ResultCode::OutcomeUnknown));
}

// Guards against unbounded retries during an outage of the key-value service, and against storing
// an invalid contract.
BOOST_AUTO_TEST_CASE(OutageEndsUnavailableAndBadTermsNeverStart) {
  Random rng(1);
  ChangeState state;
  std::optional<ChangeEffect> effect = *startChange(state, {"c1", "ana", 0, terms(5)}, at(1));
  Duration waited{0};
  int calls = 0;
  while (const auto *read = std::get_if<ReadKey>(&*effect)) {
    waited += read->Delay;
    ++calls;
    effect = onChangeAnswer(state, ReadAnswer{read->Call, ReadStatus::Unavailable, 0, ""}, rng);
  }
  BOOST_REQUIRE(std::holds_alternative<ChangeUnavailable>(*effect));
  BOOST_TEST(!std::get<ChangeUnavailable>(*effect).Written);
  BOOST_TEST(calls == MaxFailedCalls + 1);
  BOOST_TEST((waited < 16s));
  const auto bad = startChange(state, {"c2", "ana", 0, terms(0)}, at(1));
  BOOST_REQUIRE(!bad.has_value());
  BOOST_TEST((bad.error().Code == ResultCode::BadContract));
}

BOOST_AUTO_TEST_SUITE_END()
