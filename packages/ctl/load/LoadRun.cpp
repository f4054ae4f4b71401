#include "ctl/load/LoadRun.h"

#include "ctl/load/AddressBook.h"
#include "ctl/load/Flight.h"
#include "net/HttpClient.h"
#include "net/TimerService.h"

#include <algorithm>
#include <glog/logging.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

namespace chervil::load {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

/// Granularity of open-loop arrivals; those due in one interval are sent together.
constexpr Duration ArrivalInterval = 1ms;
constexpr Duration EntryInterval = 100ms;
/// Requests without a right answer that are logged; more would hide the first ones.
constexpr std::uint64_t MaxLogged = 10;

struct LoadRun {
  LoadRun(net::Loop &loop, LoadOptions options)
      : Options(std::move(options)), EventLoop(loop), Timers(loop),
        Client(net::makeHttpClient(loop, {})) {
    Rng.seed(Options.Seed);
  }

  LoadOptions Options;
  net::Loop &EventLoop;
  net::TimerService Timers;
  net::HttpClientPtr Client;
  Random Rng;
  Random KeyRng{std::random_device{}()};
  AddressBook Book;
  bool EntryUnderWay = false;
  bool Started = false;
  bool Stopped = false;
  TimePoint Begin;
  TimePoint NextArrival;
  std::uint64_t Launched = 0;
  std::size_t NextDirect = 0;
  std::uint64_t NextId = 1;
  std::uint64_t Logged = 0;
  std::unordered_map<std::uint64_t, Flight> Flights;
  std::vector<LoadRecord> Records;
  Report Out;
  ExecutionCounts Executions;
  std::size_t VerifyLeft = 0;
  std::optional<Error> Fault;
};

bool isDirect(const LoadRun &run) {
  return !run.Options.DirectModels.empty() || !run.Options.DirectServices.empty();
}

const WorkKind &kindOf(const LoadRun &run, const Flight &flight) {
  return run.Options.Work.Kinds[flight.Request.Kind];
}

void launch(LoadRun &run, TimePoint due);
void startCall(LoadRun &run, std::uint64_t id, bool fetch, bool fromBeginning);

void finishRun(LoadRun &run) {
  run.Out.Verified = !run.Options.Verify.empty() && !run.Fault;
  run.Out.Totals = summarise(run.Records, run.Out.Verified ? &run.Executions : nullptr);
  net::stop(run.EventLoop);
}

void verify(LoadRun &run) {
  run.VerifyLeft = run.Options.Verify.size();
  if (run.VerifyLeft == 0)
    return finishRun(run);
  for (const std::string &url : run.Options.Verify) {
    auto body = std::make_shared<std::string>();
    net::startCall(*run.Client, {.Url = url + "/control/executions", .TotalTimeout = 10s},
                   {.OnHead = {},
                    .OnData = [body](std::string_view bytes) { *body += bytes; },
                    .OnEnd =
                        [&run, body, url](const net::HttpEnd &) {
                          const Json json = Json::parse(*body, nullptr, false);
                          if (json.is_object() && json.contains("executions"))
                            for (const auto &[key, n] : json.at("executions").items())
                              run.Executions[key] += n.get<std::uint64_t>();
                          else
                            run.Fault = Error{ResultCode::PlatformUnavailable,
                                              "load: no executions from " + url};
                          if (--run.VerifyLeft == 0)
                            finishRun(run);
                        }});
  }
}

void endSendingIfDone(LoadRun &run) {
  if (!run.Stopped || !run.Flights.empty())
    return;
  run.Out.Seconds = std::chrono::duration<double>(net::readNow().Steady - run.Begin).count();
  net::after(run.Timers, run.Options.Verify.empty() ? Duration::zero() : run.Options.Settle,
             [&run] { verify(run); });
}

bool limitReached(const LoadRun &run, TimePoint now) {
  return (run.Options.MaxRequests > 0 && run.Launched >= run.Options.MaxRequests) ||
         (run.Options.Length > Duration::zero() && now >= run.Begin + run.Options.Length);
}

void endFlight(LoadRun &run, std::uint64_t id, LoadOutcome outcome) {
  const auto it = run.Flights.find(id);
  Flight flight = std::move(it->second);
  run.Flights.erase(it);
  const WorkKind &kind = kindOf(run, flight);
  const TimePoint now = net::readNow().Steady;
  KindReport &report = run.Out.Kinds[flight.Request.Kind];
  flight.Record.Outcome = outcome;
  if (flight.State.LastRefusal && outcome != LoadOutcome::Ok) {
    flight.Record.RefusalName = flight.State.LastRefusal->Name;
    ++run.Out.RefusedByName[flight.Record.RefusalName];
  }
  run.Out.Sends += flight.Record.Sends;
  run.Out.Fetches += flight.Record.Fetches;
  if (outcome == LoadOutcome::Ok) {
    ++report.Ok;
    report.Tokens += flight.Request.Answer.Tokens;
    run.Out.Tokens += flight.Request.Answer.Tokens;
    addValue(report.Times.Total, now - flight.Due);
    addValue(kind.Service ? run.Out.ShortCalls : run.Out.Model.Total, now - flight.Due);
  }
  if ((outcome == LoadOutcome::Wrong || outcome == LoadOutcome::Partial ||
       outcome == LoadOutcome::Lost || outcome == LoadOutcome::Unknown) &&
      run.Logged++ < MaxLogged)
    LOG(ERROR) << "load: key " << flight.Request.Key << " of kind " << kind.Name << " from "
               << flight.Address << ": " << toString(outcome) << ", " << flight.Text.size()
               << " bytes of text, status " << flight.End.Status << ", last refusal \""
               << flight.Record.RefusalName << "\", " << flight.Record.Sends << " sends, "
               << flight.Record.Fetches << " fetches";
  run.Records.push_back(std::move(flight.Record));
  if (run.Options.Rate <= 0 && !run.Stopped) {
    if (limitReached(run, now))
      run.Stopped = true;
    else
      launch(run, now);
  }
  endSendingIfDone(run);
}

void noteTokens(LoadRun &run, Flight &flight, std::size_t tokens) {
  if (tokens == 0)
    return;
  const TimePoint now = net::readNow().Steady;
  Latencies &kind = run.Out.Kinds[flight.Request.Kind].Times;
  if (std::exchange(flight.FirstSeen, true)) {
    // Tokens that arrive in one read have no gap between them.
    addValue(run.Out.Model.BetweenTokens, now - flight.LastToken);
    addValue(kind.BetweenTokens, now - flight.LastToken);
  } else {
    addValue(run.Out.Model.FirstToken, now - flight.Due);
    addValue(kind.FirstToken, now - flight.Due);
  }
  for (std::size_t i = 1; i < tokens; ++i) {
    addValue(run.Out.Model.BetweenTokens, Duration::zero());
    addValue(kind.BetweenTokens, Duration::zero());
  }
  flight.LastToken = now;
}

void onEnd(LoadRun &run, std::uint64_t id, const net::HttpEnd &end) {
  Flight &flight = run.Flights.at(id);
  const Now now = net::readNow();
  takeEnd(flight, end.Failure, isDirect(run));
  if (flight.End.Failure != net::HttpFailure::None)
    noteFailure(run.Book, flight.Address, now.Steady);
  if (flight.End.Moved) {
    ++run.Out.Moved;
    noteFailure(run.Book, flight.Address, now.Steady);
  } else if (!flight.End.Whole && !flight.End.Refused) {
    ++run.Out.Cut;
  }
  if (flight.End.Refused)
    ++run.Out.RefusalsSeen[flight.End.Refused->Name];
  const CallerAction action = nextAction(flight.State, flight.End, now.Steady, run.Rng);
  switch (action.Kind) {
  case CallerActionKind::Finish:
    return endFlight(run, id, checkAnswer(flight, kindOf(run, flight).Service));
  case CallerActionKind::GiveUp:
    return endFlight(run, id, finalOutcome(flight.State));
  case CallerActionKind::Send:
    net::after(run.Timers, action.Wait, [&run, id] { startCall(run, id, false, true); });
    return;
  case CallerActionKind::Fetch:
  case CallerActionKind::FetchAll:
    net::after(run.Timers, action.Wait,
               [&run, id, all = action.Kind == CallerActionKind::FetchAll] {
                 startCall(run, id, true, all);
               });
    return;
  }
}

std::string chooseAddress(LoadRun &run, const Flight &flight) {
  if (isDirect(run)) {
    const auto &from =
        kindOf(run, flight).Service ? run.Options.DirectServices : run.Options.DirectModels;
    return from[run.NextDirect++ % from.size()];
  }
  if (!flight.MovedTo.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0, flight.MovedTo.size() - 1);
    return flight.MovedTo[pick(run.Rng)];
  }
  return pickAddress(run.Book, flight.Address, net::readNow().Steady, run.Rng);
}

net::HttpCall makeCall(const LoadRun &run, const Flight &flight, bool fetch, TimePoint now) {
  const LoadRequest &request = flight.Request;
  const WorkKind &kind = kindOf(run, flight);
  net::HttpCall call;
  call.Url = "http://" + flight.Address;
  call.Headers = {
      {"Authorization", "Bearer " + run.Options.Work.Customers[request.Customer].Token}};
  call.TotalTimeout = std::max(
      1ms, std::chrono::duration_cast<std::chrono::milliseconds>(flight.State.GiveUpAt - now));
  if (isDirect(run))
    call.TotalTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(run.Options.GiveUp);
  if (kind.Stream)
    call.IdleTimeout = run.Options.Idle;
  if (fetch) {
    call.Url += "/v1/requests/" + request.Key + "?offset=" + flight.Offset;
    if (kind.Stream)
      call.Headers.emplace_back("Accept", "text/event-stream");
    return call;
  }
  call.Method = request.Method;
  call.Url += isDirect(run) ? request.DirectPath : request.Path;
  call.Body = request.Body;
  call.Headers.emplace_back("Idempotency-Key", request.Key);
  call.Headers.emplace_back("Idempotency-Attempt", std::to_string(flight.State.Attempt));
  call.Headers.emplace_back("Content-Type", "application/json");
  // libcurl repeats a call on a reused connection by itself.
  call.ReuseConnection = kind.Repeatable;
  return call;
}

void startCall(LoadRun &run, std::uint64_t id, bool fetch, bool fromBeginning) {
  Flight &flight = run.Flights.at(id);
  beginCall(flight, fetch, fromBeginning, chooseAddress(run, flight));
  ++(fetch ? flight.Record.Fetches : flight.Record.Sends);
  net::startCall(*run.Client, makeCall(run, flight, fetch, net::readNow().Steady),
                 {.OnHead =
                      [&run, id](int status, const net::NamedValues &headers) {
                        takeHead(run.Flights.at(id), status, headers);
                      },
                  .OnData =
                      [&run, id](std::string_view bytes) {
                        Flight &it = run.Flights.at(id);
                        noteTokens(run, it, takeBytes(it, bytes));
                      },
                  .OnEnd = [&run, id](const net::HttpEnd &end) { onEnd(run, id, end); }});
}

void launch(LoadRun &run, TimePoint due) {
  const Now now = net::readNow();
  const std::uint64_t id = run.NextId++;
  ++run.Launched;
  Flight flight;
  flight.Request = drawRequest(run.Options.Work, run.Rng, run.KeyRng, now.Wall);
  const WorkKind &kind = run.Options.Work.Kinds[flight.Request.Kind];
  flight.Due = due;
  flight.State.Repeatable = kind.Repeatable;
  // An engine knows no keys, so nothing can be resumed.
  flight.State.GiveUpAt = isDirect(run) ? now.Steady : now.Steady + run.Options.GiveUp;
  flight.Record.Key = flight.Request.Key;
  flight.Record.Kind = flight.Request.Kind;
  flight.Record.Repeatable = kind.Repeatable;
  flight.Record.Counted = kind.Service && kind.Method != "GET";
  ++run.Out.Kinds[flight.Request.Kind].Requests;
  run.Flights.emplace(id, std::move(flight));
  startCall(run, id, false, true);
}

void arrive(LoadRun &run) {
  const TimePoint now = net::readNow().Steady;
  std::exponential_distribution<double> gap(run.Options.Rate);
  while (!run.Stopped && run.NextArrival <= now) {
    if (limitReached(run, run.NextArrival)) {
      run.Stopped = true;
      return endSendingIfDone(run);
    }
    launch(run, run.NextArrival);
    run.NextArrival +=
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(run.Rng)));
  }
}

void begin(LoadRun &run) {
  run.Started = true;
  run.Begin = run.NextArrival = net::readNow().Steady;
  if (run.Options.Rate > 0) {
    net::every(run.Timers, ArrivalInterval, [&run] { arrive(run); });
    return;
  }
  for (std::size_t i = 0; i < run.Options.Callers; ++i)
    if (!limitReached(run, run.Begin))
      launch(run, run.Begin);
}

void refreshEntry(LoadRun &run) {
  const TimePoint now = net::readNow().Steady;
  if (run.EntryUnderWay || !needsRefresh(run.Book, now))
    return;
  AddressBook seeds = run.Book;
  // A known list can consist of addresses that are all gone.
  seeds.Addresses.insert(seeds.Addresses.end(), seeds.Seeds.begin(), seeds.Seeds.end());
  const std::string address = pickAddress(seeds, {}, now, run.Rng);
  run.EntryUnderWay = true;
  auto body = std::make_shared<std::string>();
  net::startCall(
      *run.Client,
      {.Url = "http://" + address + "/v1/entry",
       .Headers = {{"Authorization", "Bearer " + run.Options.Work.Customers.front().Token}},
       .TotalTimeout = 2s},
      {.OnHead = {},
       .OnData = [body](std::string_view bytes) { *body += bytes; },
       .OnEnd =
           [&run, body, address](const net::HttpEnd &end) {
             const TimePoint at = net::readNow().Steady;
             run.EntryUnderWay = false;
             if (end.Failure != net::HttpFailure::None || end.Status != 200 ||
                 !takeEntry(run.Book, *body, at))
               return noteFailure(run.Book, address, at);
             if (!run.Started)
               begin(run);
           }});
}

void dropKindsWithoutEngine(LoadRun &run) {
  std::erase_if(run.Options.Work.Kinds, [&](const WorkKind &it) {
    return it.Service ? run.Options.DirectServices.empty() : run.Options.DirectModels.empty();
  });
}

} // namespace

Result<Report> runLoad(net::Loop &loop, LoadOptions options) {
  LoadRun run(loop, std::move(options));
  if (isDirect(run))
    dropKindsWithoutEngine(run);
  if (run.Options.Work.Kinds.empty())
    return fail(ResultCode::BadRequest, "load: no kind of work is left");
  for (const WorkKind &it : run.Options.Work.Kinds)
    run.Out.Kinds.push_back({.Name = it.Name});
  run.Book.Seeds = run.Options.Entry;
  if (isDirect(run)) {
    begin(run);
  } else {
    net::every(run.Timers, EntryInterval, [&run] { refreshEntry(run); });
    refreshEntry(run);
    net::after(run.Timers, run.Options.EntryWait, [&run] {
      if (run.Started)
        return;
      run.Fault = Error{ResultCode::PlatformUnavailable, "load: no entry list"};
      net::stop(run.EventLoop);
    });
  }
  net::run(run.EventLoop);
  if (run.Fault)
    return tl::make_unexpected(*run.Fault);
  return std::move(run.Out);
}

} // namespace chervil::load
