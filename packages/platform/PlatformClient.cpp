#include "platform/PlatformClient.h"

#include "platform/detail/Client.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace chervil::platform {
namespace detail {
namespace {

struct Answer {
  int Status = 0;
  std::string Body;
  bool TooLarge = false;
  std::chrono::seconds RetryAfter{0};
};

CallOutcome classify(const Request &request, int status) {
  if (status >= 200 && status < 300)
    return CallOutcome::Done;
  if (status == 404)
    return CallOutcome::NotFound;
  if (status == 409)
    return CallOutcome::Conflict;
  // A service may fail after it has done the work; only its documented refusals are certain.
  if (status >= 400 && (status < 500 || (status == 503 && !request.UnavailableIsUnknown)))
    return status == 408 ? CallOutcome::Unknown : CallOutcome::Refused;
  return CallOutcome::Unknown;
}

RawResult resultOf(const Request &request, const net::HttpEnd &end, Answer &answer) {
  RawResult out;
  out.Value = Json(Json::value_t::discarded);
  out.Status = end.Status;
  out.RetryAfter = answer.RetryAfter;
  if (end.Failure != net::HttpFailure::None || answer.TooLarge) {
    out.Outcome =
        end.Failure == net::HttpFailure::NotSent ? CallOutcome::NotSent : CallOutcome::Unknown;
    out.Error = answer.TooLarge ? "answer too large" : end.Error;
    return out;
  }
  out.Outcome = classify(request, end.Status);
  out.Value = Json::parse(answer.Body, nullptr, false);
  if (out.Outcome != CallOutcome::Done)
    out.Error = "status " + std::to_string(end.Status);
  return out;
}

void takeHead(Answer &answer, int status, const net::NamedValues &headers) {
  answer.Status = status;
  for (const auto &[name, value] : headers) {
    int seconds = 0;
    if (name == "retry-after" &&
        std::from_chars(value.data(), value.data() + value.size(), seconds).ec == std::errc() &&
        seconds > 0)
      answer.RetryAfter = std::chrono::seconds(seconds);
  }
}

std::string percentEncode(std::string_view text, std::string_view kept) {
  constexpr const char *digits = "0123456789ABCDEF";
  std::string out;
  for (const char ch : text) {
    const auto byte = static_cast<unsigned char>(ch);
    if (std::isalnum(byte) != 0 || kept.find(ch) != std::string_view::npos) {
      out += ch;
    } else {
      out += '%';
      out += digits[byte >> 4];
      out += digits[byte & 15];
    }
  }
  return out;
}

} // namespace

std::string encodePath(std::string_view text) { return percentEncode(text, "-_.~/"); }

std::string encodeQuery(std::string_view text) { return percentEncode(text, "-_.~"); }

std::uint64_t start(PlatformClient &client, Request request,
                    std::function<void(RawResult &&)> callback) {
  const auto kind = static_cast<std::size_t>(request.Kind);
  if (!request.IsPoll && client.OpenCalls >= client.Options.MaxCalls) {
    ++client.Counters.OverBound;
    after(*client.Timers, Duration::zero(), [callback = std::move(callback)] {
      callback({.Outcome = CallOutcome::NotSent,
                .Value = Json(Json::value_t::discarded),
                .Error = "too many calls at a time"});
    });
    return 0;
  }
  ++client.Counters.Calls[kind];
  if (!request.IsPoll)
    ++client.OpenCalls;
  auto answer = std::make_shared<Answer>();
  net::HttpCall call{.Method = request.Method,
                     .Url = request.Url,
                     .Headers = {},
                     .Body = std::move(request.Body),
                     .ConnectTimeout = client.Options.ConnectTimeout,
                     .TotalTimeout = client.Options.RequestTimeout + request.Wait};
  // libcurl may repeat a call on a reused connection. The repetition of a compare-and-swap that
  // succeeded would be answered with a conflict, so only calls without effect reuse connections.
  call.ReuseConnection = request.Method == "GET" || request.Kind == CallKind::LeaseKeepAlive;
  request.Body.clear();
  const std::size_t max = client.Options.MaxAnswer;
  return startCall(
      *client.Http, std::move(call),
      {.OnHead = [answer](int status,
                          const net::NamedValues &headers) { takeHead(*answer, status, headers); },
       .OnData =
           [answer, max](std::string_view bytes) {
             answer->TooLarge = answer->TooLarge || answer->Body.size() + bytes.size() > max;
             if (!answer->TooLarge)
               answer->Body += bytes;
           },
       .OnEnd =
           [&client, kind, answer, request = std::move(request),
            callback = std::move(callback)](const net::HttpEnd &end) {
             if (!request.IsPoll)
               --client.OpenCalls;
             RawResult result = resultOf(request, end, *answer);
             if (result.Outcome == CallOutcome::NotSent || result.Outcome == CallOutcome::Unknown)
               ++client.Counters.Failed[kind];
             callback(std::move(result));
           }});
}

std::chrono::milliseconds nextBackoff(PlatformClient &client, std::chrono::milliseconds last) {
  const auto min = client.Options.BackoffMin;
  const auto high = std::clamp(last * 3, min, client.Options.BackoffMax);
  std::uniform_int_distribution<std::int64_t> pick(min.count(), std::max(min, high).count());
  return std::chrono::milliseconds(pick(client.Rng));
}

} // namespace detail

struct LongPoll {
  PlatformClient *Client = nullptr;
  detail::PollSpec Spec;
  std::uint64_t Call = 0;
  net::TimerId Timer = 0;
  TimePoint Started{};
  std::chrono::milliseconds Backoff{0};

  LongPoll() = default;
  LongPoll(const LongPoll &) = delete;
  LongPoll &operator=(const LongPoll &) = delete;
  ~LongPoll() {
    if (Call != 0)
      cancelCall(*Client->Http, Call);
    cancel(*Client->Timers, Timer);
  }
};

namespace {

void poll(const LongPollPtr &it);

void pollIn(const LongPollPtr &it, Duration delay) {
  it->Timer = after(*it->Client->Timers, delay, [weak = std::weak_ptr(it)] {
    if (const LongPollPtr strong = weak.lock()) {
      strong->Timer = 0;
      poll(strong);
    }
  });
}

/// The error of an answer that cannot be used, or nothing.
std::optional<std::string> take(LongPoll &it, const detail::RawResult &raw, bool &news) {
  if (raw.Outcome != CallOutcome::Done)
    return raw.Error;
  try {
    news = it.Spec.Take(raw.Value);
    return std::nullopt;
  } catch (const std::exception &e) {
    return e.what();
  }
}

void ended(const LongPollPtr &it, const detail::RawResult &raw) {
  it->Call = 0;
  const PlatformOptions &options = it->Client->Options;
  bool news = false;
  // A local copy of the pointer is held by the caller: the callbacks may drop the poll.
  const std::optional<std::string> error = take(*it, raw, news);
  if (error) {
    if (it->Spec.OnError)
      it->Spec.OnError(raw.Outcome == CallOutcome::Done ? CallOutcome::Unknown : raw.Outcome,
                       *error);
    it->Backoff = std::max<std::chrono::milliseconds>(detail::nextBackoff(*it->Client, it->Backoff),
                                                      options.PollSpacing);
    return pollIn(it, it->Backoff);
  }
  it->Backoff = std::chrono::milliseconds(0);
  const Duration used = net::readNow().Steady - it->Started;
  // A service that answers at once without news does not hold the poll; it is asked less often.
  const Duration spacing = !news && used < Duration(options.PollWait) / 4
                               ? Duration(options.PollWait) / 4
                               : Duration(options.PollSpacing);
  pollIn(it, std::max(Duration::zero(), spacing - used));
}

void poll(const LongPollPtr &it) {
  it->Started = net::readNow().Steady;
  const auto wait = it->Client->Options.PollWait;
  it->Call = detail::start(*it->Client,
                           {.Kind = it->Spec.Kind,
                            .Url = it->Spec.Url() + "&wait_ms=" + std::to_string(wait.count()),
                            .Wait = wait,
                            .IsPoll = true},
                           [weak = std::weak_ptr(it)](detail::RawResult &&raw) {
                             if (const LongPollPtr strong = weak.lock())
                               ended(strong, raw);
                           });
}

} // namespace

LongPollPtr detail::startPoll(PlatformClient &client, PollSpec spec) {
  auto it = std::make_shared<LongPoll>();
  it->Client = &client;
  it->Spec = std::move(spec);
  poll(it);
  return it;
}

PlatformClientPtr makePlatformClient(net::Loop &loop, net::TimerService &timers,
                                     PlatformOptions options) {
  PlatformClientPtr client(new PlatformClient);
  client->Timers = &timers;
  client->Http = net::makeHttpClient(loop, {.CaFile = options.CaFile});
  client->Rng.seed(options.Seed);
  client->Options = std::move(options);
  return client;
}

void PlatformClientDeleter::operator()(PlatformClient *client) const { delete client; }

const CallCounters &counters(const PlatformClient &client) { return client.Counters; }

} // namespace chervil::platform
