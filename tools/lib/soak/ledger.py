"""What callers, backend servers and the platform saw, and the promises that follow from it.

Only these observations are judged, never what a node says of itself. A bound in time holds for a
node "in touch": neither it nor the store nor the soak itself was disturbed for CONTACT seconds.
"""

import hashlib
from dataclasses import dataclass, field

# Bounds of the published rules, in seconds.
CONTACT = 3.0
DRAIN = 2.0
APPLY = 2.0
GONE = 0.5
LATE = 0.5
LOSS_SLACK = 0.2
# A server that is listed again gets requests after this time, if others of its service got so many
# each meanwhile that none by chance is out of the question.
RETURN = 5.0
RETURN_RUNS = 8
RETRY_WINDOW = 10.0
RETRY_RATIO = 0.2
QUOTA_WINDOW = 8.0
QUOTA_OVERSHOOT = 0.1
# Allowed beyond the overshoot, in seconds of the rate: as the users' sheets have it (190,000 tokens
# at 231,000 tokens/s).
QUOTA_SLACK = 0.8
# Added to bounds in time: the soak's own event loop and a busy machine delay its observations.
TOLERANCE = 0.25
# A server's limit: the span that is judged, what is allowed in it beside the stated rate, and how
# long a node may go on after the first answer with a limit or a pause that it passed on.
LIMIT_SPAN = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
NOTICE_DELAY = 0.5
PAUSE_SLACK = 2
PROMISES = (408, 421, 429, 503)


def digest(data):
    return hashlib.sha256(data).hexdigest()[:16]


@dataclass
class Run:
    attempt: str
    server: str
    service: str
    arrived: float
    began: float = 0.0
    ended: float = 0.0
    status: int = 0
    stamp: str = ""
    body: bytes = b""
    tenant: str = ""
    # The server broke off, or was asked to answer badly.
    broken: bool = False
    # A bad response of a bad version.
    spoiled: bool = False


@dataclass
class Attempt:
    id: str
    node: str
    kind: str
    method: str
    path: str
    body: str
    tenant: str
    timeout: float
    sent: float = 0.0
    ended: float = 0.0
    # "answered", "cut" (no complete answer), "unread" (no channel) or "left" (the caller went).
    end: str = ""
    status: int = 0
    # Every configuration of the run allows it.
    proper: bool = True
    # Its body may be refused before the end, after which the caller may read nothing.
    large: bool = False
    # Its servers are silent for so many seconds within this stream, and nothing else disturbs it once
    # it is open.
    silence: float = 0.0
    runs: list = field(default_factory=list)

    @property
    def repeatable(self):
        return self.kind in ("safe", "resumed")


class Ledger:
    def __init__(self, world):
        self.world = world
        self.attempts = {}
        self.runs = []
        self.violations = []
        self.counts = {}
        self._spans = []
        self.services_of = {}
        self.usage = {}
        self.fence = (0, "")
        self.holders = []
        # Statements of servers in answers: (server, node) -> time, or (from, until, arrivals).
        self.limits = {}
        self.limited_since = {}
        self.leaving = {}
        self.pauses = {}

    def now(self):
        return self.world.now()

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def violate(self, rule, text):
        self.violations.append((round(self.now(), 3), rule, text))
        self.world.log(f"VIOLATION {rule}: {text}")

    # Disturbances.

    def begin(self, *subjects):
        """Subjects are "store", "refusals" (the store refuses some nodes), "soak", "duty",
        ("node", name), ("stopping", name) or ("server", id)."""
        span = {"subjects": set(subjects), "from": self.now(), "to": float("inf")}
        self._spans.append(span)
        return span

    def end(self, span):
        span["to"] = self.now()

    def is_calm(self, since, until, *subjects, soak=True):
        """Without `soak`, delays of the soak itself do not count."""
        wanted = set(subjects) | ({"soak"} if soak else set())
        return not any(s["subjects"] & wanted and s["from"] <= until and s["to"] >= since
                       for s in self._spans)

    def in_touch(self, node, since, until=None):
        until = self.now() if until is None else until
        return self.is_calm(since - CONTACT, until, "store", "refusals", ("node", node),
                            ("stopping", node))

    # Observations of backend servers.

    def arrived(self, request, server):
        fields = request.fields
        run = Run(fields.get("attempt-id", ""), server.id, server.service, self.now())
        attempt = self.attempts.get(run.attempt)
        where = f"{run.attempt} at {server.id}"
        if attempt is None:
            self.violate("UNASKED", f"{where}: no caller sent this request")
            return run
        if (request.method, request.target, digest(request.body)) != (
                attempt.method, attempt.path, attempt.body):
            self.violate("UNASKED", f"{where}: method, path or body changed")
        if "x-api-key" in fields:
            self.violate("UNASKED", f"{where}: the key was passed on")
        run.tenant = fields.get("tenant", "")
        if run.tenant != attempt.tenant:
            self.violate("UNASKED", f"{where}: runs for '{run.tenant}', not '{attempt.tenant}'")
        prefix = "/" + attempt.path.split("/")[1] + "/"
        if server.service not in self.services_of.get(prefix, set()):
            self.violate("ROUTE", f"{where}: {attempt.path} was run by {server.service}")
        if server.left_at is not None:
            late = run.arrived - max(server.left_at, attempt.sent)
            since = run.arrived - server.left_at
            if since > DRAIN + TOLERANCE and late >= 0 and self.in_touch(
                    attempt.node, server.left_at):
                self.violate("DRAIN", f"{where}: {since:.2f} s after it left, by {attempt.node}")
        self._judge_notices(server, attempt, run)
        attempt.runs.append(run)
        self.runs.append(run)
        return run

    # Statements of backend servers in their answers.

    def node_of(self, run):
        attempt = self.attempts.get(run.attempt)
        return attempt.node if attempt else ""

    def limit_stated(self, server, run):
        self.limits.setdefault((server.id, self.node_of(run)), self.now())
        self.limited_since.setdefault(server.id, self.now())

    def limit_ended(self, server):
        self.limited_since.pop(server.id, None)
        for key in [it for it in self.limits if it[0] == server.id]:
            del self.limits[key]

    def leaving_stated(self, server, run):
        self.leaving.setdefault((server.id, self.node_of(run)), self.now())

    def pause_stated(self, server, run):
        self.pauses[server.id, self.node_of(run)] = [self.now(), self.now() + server.pause, 0]

    def _is_same_life(self, node, since):
        """The node was neither stopped, killed nor paused since."""
        return self.is_calm(since, self.now(), ("node", node), ("stopping", node))

    def _judge_notices(self, server, attempt, run):
        node, now = attempt.node, run.arrived
        where = f"{run.attempt} at {server.id}, by {node}"
        left = self.leaving.get((server.id, node))
        if left is not None and attempt.sent > left + DRAIN + TOLERANCE and self._is_same_life(
                node, left):
            self.violate("DRAIN", f"{where}: {now - left:.2f} s after its answer said that it leaves")
        pause = self.pauses.get((server.id, node))
        if pause and pause[0] + NOTICE_DELAY + TOLERANCE < now < pause[1] and self._is_same_life(
                node, pause[0]):
            pause[2] += 1
            if pause[2] == PAUSE_SLACK + 1:
                self.violate("BUDGET", f"{where}: {pause[2]} requests within a pause")
        since = self.limited_since.get(server.id)
        if server.limit is None or since is None or now - since < CONTACT + LIMIT_SPAN:
            return
        known = lambda it: (told := self.limits.get((server.id, it))) is not None and (
            told + NOTICE_DELAY + TOLERANCE < now - LIMIT_SPAN) and self._is_same_life(it, told)
        got = 1 + sum(1 for it in self.runs if it.server == server.id
                      and it.arrived > now - LIMIT_SPAN and known(self.node_of(it)))
        allowed = LIMIT_FACTOR * LIMIT_SPAN * server.limit + LIMIT_SLACK
        if got > allowed:
            self.violate("LIMIT", f"{where}: {got} requests in {LIMIT_SPAN:.0f} s, {allowed:.1f} "
                                  f"are allowed")

    def still_working(self, run, since):
        """The server works on although the caller left at `since`."""
        attempt = self.attempts[run.attempt]
        if self.now() - since > GONE + TOLERANCE and attempt.repeatable and self.in_touch(
                attempt.node, since) and self.is_calm(since, self.now(), ("server", run.server)):
            self.violate("GONE", f"{run.attempt} at {run.server}, by {attempt.node}")
            return True
        return False

    def judge_return(self, server, listed, servers):
        """RETURN: requests reach a server that is listed again, from the nodes in touch."""
        others = [it.id for it in servers if it.service == server.service and it is not server]
        until = listed + RETURN + TOLERANCE
        # Delays of the soak are a small part of the bound.
        is_calm = lambda *subjects: self.is_calm(listed - CONTACT, until, *subjects, soak=False)
        calm = {it.name for it in self.world.nodes
                if is_calm(("node", it.name), ("stopping", it.name))}
        runs = [it for it in self.runs
                if listed < it.arrived <= until and self.node_of(it) in calm]
        elsewhere = sum(1 for it in runs if it.server in others)
        self.world.log(f"return of {server.id}: {elsewhere} requests at {len(others)} others, "
                       f"by {len(calm)} nodes in touch")
        if not is_calm("store", "refusals", ("server", server.id)):
            return
        if not others or elsewhere < RETURN_RUNS * len(others):
            return
        self.count("returns judged")
        if not any(it.server == server.id for it in runs):
            self.violate("RETURN", f"{server.id} got nothing within {RETURN:.0f} s after it was "
                                   f"listed again, {len(others)} others got {elsewhere}")

    # Observations of callers.

    def ended(self, attempt, end, status=0):
        attempt.ended, attempt.end, attempt.status = self.now(), end, status
        self.count(f"{end} {status}" if status else end)
        took = attempt.ended - attempt.sent
        if took > attempt.timeout + LATE + TOLERANCE and not attempt.kind.startswith(
                ("resumed", "stream")) and self.in_touch(attempt.node, attempt.sent):
            self.violate("CONFIG", f"{attempt.id}: {took:.2f} s for a timeout of "
                                   f"{attempt.timeout:.1f} s, by {attempt.node}")
        if status in (400, 401, 403, 404) and attempt.proper:
            self.violate("DENIED", f"{attempt.id}: {status} for a proper request, "
                                   f"by {attempt.node}")
        if end == "cut":
            self._judge_cut(attempt)

    def answer(self, attempt, message):
        """A whole plain answer."""
        stamp = message.fields.get("server-stamp", "")
        run = next((r for r in attempt.runs if r.stamp == stamp), None) if stamp else None
        if 200 <= message.status < 300:
            if run is None:
                self.violate("MIXED", f"{attempt.id}: success without its server's stamp")
            elif run.status != message.status or run.body != message.body:
                self.violate("MIXED", f"{attempt.id}: not the body of {run.server}")
        elif stamp and (run is None or run.status != message.status):
            self.violate("MIXED", f"{attempt.id}: {message.status} is not the server's status")
        if message.fields.get("attempt-id", attempt.id) != attempt.id:
            self.violate("MIXED", f"{attempt.id}: answer of another request")

    def stream(self, attempt, events, complete):
        """The events of one stream, as (id, text)."""
        start = int(events[0][0]) if events else 1
        expected = [str(start + i) for i in range(len(events))]
        if [it[0] for it in events] != expected or start != 1:
            self.violate("ORDER", f"{attempt.id}: events {[it[0] for it in events][:8]}")
        if any(not it[1].startswith(attempt.id + ":") for it in events):
            self.violate("MIXED", f"{attempt.id}: an event of another request")
        if attempt.kind == "stream" and len({it[1].split(":")[1] for it in events}) > 1:
            self.violate("ORDER", f"{attempt.id}: events of two runs joined")
        size = int(attempt.path.rsplit("/", 1)[1])
        if complete and len(events) != size:
            self.violate("ORDER", f"{attempt.id}: complete after {len(events)} of {size} events")

    def _judge_cut(self, attempt):
        """LOST: a read request ends without a whole answer, and nothing disturbed its way."""
        # Disturbance of the store alone excuses nothing.
        subjects = [("node", attempt.node)]
        subjects += [("server", r.server) for r in attempt.runs]
        broken = any(r.broken for r in attempt.runs)
        passed_on = bool(attempt.runs) or (
            not attempt.large and attempt.ended - attempt.sent > LOSS_SLACK + TOLERANCE)
        since = attempt.sent - (0 if attempt.silence else CONTACT)
        if passed_on and not broken and self.is_calm(since, attempt.ended, *subjects):
            self.violate("LOST", f"{attempt.id} ({attempt.kind}): cut by {attempt.node} after "
                                 f"{attempt.ended - attempt.sent:.2f} s, runs at "
                                 f"{[r.server for r in attempt.runs]}")

    # Observations of the platform's duties.

    def usage_posted(self, holder, token, window, counts):
        known = self.usage.setdefault(window, counts)
        if known != counts:
            self.violate("ONE", f"window {window}: {known} and then {counts}")
        self._duty_call(holder, token)

    def _duty_call(self, holder, token):
        calm = self.is_calm(self.now() - 0.3, self.now(), "duty", "store", ("node", holder))
        last, by = self.fence
        if token < last and calm:
            self.violate("ONE", f"fence {token} of {holder} after {last} of {by}")
        if token == last and by and by != holder:
            self.violate("ONE", f"{holder} and {by} share the fence {token}")
        if token >= last:
            self.fence = (token, holder)

    # At the end.

    def finish(self, quota, retry_slack):
        for attempt in self.attempts.values():
            began = [r for r in attempt.runs if r.began]
            if not attempt.repeatable and len(began) > 1:
                self.violate("TWICE", f"{attempt.id} ran at {[r.server for r in began]}")
            if not attempt.repeatable and began and attempt.status in PROMISES:
                self.violate("REFUSED", f"{attempt.id}: {attempt.status}, and it ran at "
                                        f"{[r.server for r in began]}")
        self._check_repeats(retry_slack)
        for tenant, (rate, burst) in quota.items():
            self._check_quota(tenant, rate, burst)

    def _check_repeats(self, slack):
        by_service = {}
        for attempt in self.attempts.values():
            for i, run in enumerate(attempt.runs):
                asked, repeats = by_service.setdefault(run.service, ([], []))
                (repeats if i else asked).append(run.arrived)
        for service, (asked, repeats) in by_service.items():
            repeats.sort()
            for i, at in enumerate(repeats):
                n = sum(1 for t in repeats[i:] if t < at + RETRY_WINDOW)
                base = max(sum(1 for t in asked if at - shift <= t < at - shift + RETRY_WINDOW)
                           for shift in (0, RETRY_WINDOW / 2, RETRY_WINDOW))
                if n > RETRY_RATIO * base + slack:
                    self.violate("BUDGET", f"{service}: {n} repeats to {base} requests")
                    break

    def _check_quota(self, tenant, rate, burst):
        # A request counts in a window in which it was both sent and run.
        began = sorted((r.began, self.attempts[r.attempt].sent) for r in self.runs
                       if r.tenant == tenant and r.began)
        bound = (rate * QUOTA_WINDOW + burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK * rate
        for _, at in began:
            n = sum(1 for run, sent in began if sent >= at and run < at + QUOTA_WINDOW)
            if n > bound:
                self.violate("QUOTA", f"{tenant}: {n} runs in {QUOTA_WINDOW:.0f} s, {bound:.0f} "
                                      f"are allowed, from {at:.2f}")
                return
        self.counts[f"most of {tenant}"] = max(
            (sum(1 for run, sent in began if sent >= at and run < at + QUOTA_WINDOW)
             for _, at in began), default=0)
