#include "testing/standin/Registration.h"

#include "testing/standin/VmJson.h"

#include <utility>

namespace chervil::standin {

void registerWith(net::HttpClient &client, net::TimerService &timers, Registration registration) {
  static constexpr std::chrono::milliseconds retryInterval{200};
  if (registration.Platform.empty())
    return;
  Json body = toJson(registration.It);
  body["waiting"] = registration.Waiting;
  net::HttpCall call{.Method = "POST",
                     .Url = registration.Platform + "/control/register",
                     .Headers = {},
                     .Body = dump(body),
                     .ReuseConnection = false};
  net::startCall(
      client, std::move(call),
      {.OnHead = {},
       .OnData = {},
       .OnEnd = [&client, &timers, again = std::move(registration)](const net::HttpEnd &end) {
         if (end.Failure == net::HttpFailure::None && end.Status == 200)
           return;
         net::after(timers, retryInterval,
                    [&client, &timers, again] { registerWith(client, timers, again); });
       }});
}

} // namespace chervil::standin
