"""The ingress's side of delivery: handles a call from its arrival to its final answer.

Its methods take requests, frames and changes of connections with an explicit `now` (monotonic
seconds) and return actions for the tasks that own the sockets. No I/O, no clock.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from foldhoist.delivery import rules
from foldhoist.delivery.admission_checks import DAEMON_LEAVING, DAEMON_STOPPED, AdmissionChecks
from foldhoist.delivery.attempt_fates import AttemptFates
from foldhoist.delivery.call import (
    Action,
    Call,
    CallerRequest,
    Connect,
    Counters,
    OwnerFrame,
    PendingAttempt,
    Reply,
    SendTo,
    Timer,
    make_record,
)
from foldhoist.delivery.call_table import CallTable
from foldhoist.delivery.dispatch_message import dispatch_message
from foldhoist.delivery.quota_gate import Begin, QuotaGate, Refuse
from foldhoist.delivery.request_intake import UNAUTHORIZED, RejectedRequest, RequestIntake
from foldhoist.delivery.services import RetrySlack, Services
from foldhoist.delivery.shutdown_limits import ShutdownLimits, withdraw_waiting
from foldhoist.delivery.signal_cache import SignalCache
from foldhoist.delivery.verdict import Answered, MayHaveRun, NotRun, Response, Verdict
from foldhoist.quarantine.table import QUARANTINED
from foldhoist.routing.picker import NO_CONNECTION, NoChoice, Picker

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from foldhoist.delivery.quota_gate import GateAction
    from foldhoist.quarantine.table import Quarantine
    from foldhoist.routing.picker import Member
    from foldhoist.schema.fleet import Fleet
    from foldhoist.schema.messages import Answer, Credit, Refusal, Report


class Ingress:
    """Runs the calls that entered at this daemon until each has its final answer."""

    def __init__(
        self,
        data_centre: str,
        max_calls: int,
        rng: Random,
        slack: RetrySlack | None = None,
        quarantine: Quarantine | None = None,
    ) -> None:
        self.admission = AdmissionChecks(max_calls, quarantine)
        self.generation = 0
        self.explain = True
        self.count = Counters()
        self._signal_cache = SignalCache()
        self._services = Services(data_centre, rng, slack, self._signal_cache)
        self.intake = RequestIntake(self.admission, self._services)
        self._calls = CallTable()
        self._shutdown = ShutdownLimits(self.admission, self._services, self._calls)
        self.fates = AttemptFates(self._calls, self._services, self.count, self._retry)
        self.gate = QuotaGate(self._calls, self.count, rng)
        self._incarnations: dict[str, str] = {}
        self._connected: set[str] = set()

    def adopt(
        self,
        now: float,
        generation: int,
        fleet: Fleet,
        tracked: Mapping[str, list[Member]],
        homes: Mapping[str, tuple[str, ...]],
        daemons: int = 1,
    ) -> list[Action]:
        """Apply a configuration; keeps what is known of upstreams that remain in it."""
        self.generation = generation
        self.intake.adopt(fleet)
        self._services.adopt(fleet, homes)
        decided = self.gate.adopt(now, self.intake.customers)
        return [*self.track(now, tracked, daemons), *self._apply_gate(now, decided)]

    def track(
        self, now: float, tracked: Mapping[str, list[Member]], daemons: int = 1
    ) -> list[Action]:
        """Set the upstreams to choose from; `daemons` is how many daemons share the retry slack."""
        self._services.track(now, tracked, self._connected, daemons)
        return self._unpark(now)

    def upstream_replaced(self, now: float, target: str) -> None:
        """Reset what is known of an upstream after another one took its place."""
        self._services.linked(now, target, target in self._connected, fresh=True)

    def arrive(self, now: float, call_id: int, req: CallerRequest) -> list[Action]:
        """Handle a request of a caller."""
        self.count.calls += 1
        entry = self.intake.process(now, call_id, req, len(self._calls))
        if isinstance(entry, RejectedRequest):
            return [self._reject(now, entry)]
        call = entry.call
        self._calls.add(call)
        self._calls.schedule(call.deadline, call, Timer.EXPIRE)
        self._shutdown.schedule(call)
        return self._apply_gate(now, self.gate.enter(now, call))

    def credited(self, now: float, message: Credit) -> list[Action]:
        """Handle a quota server's reply to a request for credit."""
        return self._apply_gate(now, self.gate.credited(now, message))

    def answer(self, now: float, target: str, message: Answer) -> list[Action]:
        """Handle an owner's answer: give it to the caller, or retry after a server error."""
        ended = self._end_attempt(now, target, message)
        if ended is None:
            return []
        call, attempt, picker = ended
        if picker is not None:
            rules.report_answer(now, picker, call, attempt, message)
        call.add_attempt(now, attempt, "answered", message["waited_us"], message["served_us"])
        response = Response(message["status"], message["headers"], message["body"])
        failed = response.status >= rules.SERVER_ERROR
        if failed and call.repeatable and not call.req.key:
            call.failure = response
            return self._retry(now, call, "upstream-failed", 0.0)
        return self._finish(now, call, Answered(response))

    def refusal(self, now: float, target: str, message: Refusal) -> list[Action]:
        """Handle a refusal: retry, give the final answer, or wait for another attempt."""
        ended = self._end_attempt(now, target, message)
        if ended is None:
            return []
        call, attempt, picker = ended
        if picker is not None:
            rules.report_refusal(now, picker, call, attempt, message)
        call.add_attempt(now, attempt, f"{message['ran']}:{message['reason']}", 0, 0)
        if message["ran"] == "maybe":
            call.may_have_run_reason = message["reason"]
        elif message.get("reached", False):
            self.count.turned_away += 1
        else:
            call.arrivals -= 1
        return self._retry(now, call, message["reason"], message["retry_after_ms"] / 1000)

    def report(self, now: float, target: str, message: Report) -> None:
        """Handle an unsolicited load report of an owner."""
        self._signal_cache.record(now, target, message["load"])
        for state in self._services.all():
            state.picker.reported(target, now, message["load"])

    def link_up(self, now: float, target: str, incarnation: str) -> list[Action]:
        """Handle a new connection to an owner; resolves attempts whose connection was lost."""
        fresh = self._incarnations.get(target) != incarnation
        self._incarnations[target] = incarnation
        self._connected.add(target)
        self.gate.linked(now, target, up=True)
        self._services.linked(now, target, True, fresh)
        return [
            *self._signal_cache.update_for(now, target),
            *self.fates.link_up(now, target, fresh),
            *self._unpark(now),
        ]

    def link_closing(self, now: float, target: str) -> list[Action]:
        """Stop sending calls to an owner; it still answers those that it has."""
        self._connected.discard(target)
        self._services.linked(now, target, False, fresh=False)
        return self._apply_gate(now, self.gate.linked(now, target, up=False))

    def link_lost(self, now: float, target: str) -> list[Action]:
        """Handle the loss of the connection to an owner."""
        return [*self.link_closing(now, target), *self.fates.link_lost(now, target)]

    def link_refused(self, now: float, target: str) -> list[Action]:
        """Handle the end of an owner's process: the outcome of its calls stays unknown."""
        return self.fates.owner_ended(now, target, "owner-gone")

    def caller_disconnected(self, now: float, call_id: int) -> list[Action]:
        """Withdraw a call whose caller has closed its connection."""
        call = self._calls.remove(call_id)
        if call is None:
            return []
        self.count.gone += 1
        self.gate.ended(now, call, ran=True)
        return self._withdraw_all(now, call)

    def begin_shutdown(self, by: float, long_calls_until: float) -> None:
        """Let no call start that may not end before the process does at `by`.

        See `AdmissionChecks.begin_shutdown`. Calls that still wait then are refused as not run.
        """
        self._shutdown.begin(by, long_calls_until)

    def end_shutdown(self, now: float) -> list[Action]:
        """Give every call its final answer: the process ends, also while calls are at upstreams."""
        actions: list[Action] = []
        not_run = NotRun(DAEMON_LEAVING, 0.0)
        for call in self._calls:
            actions += self._end(now, call, not_run, MayHaveRun(DAEMON_STOPPED))
        return actions

    def tick(self, now: float) -> list[Action]:
        """Run the timers that are due: deadlines, hedges and waits."""
        actions = self._apply_gate(now, self.gate.tick(now))
        for call, kind in self._calls.due(now):
            actions += self._on_timer(now, call, kind)
        return actions

    def next_at(self) -> float | None:
        """Return when `tick` is due next, monotonic seconds, or None if nothing is scheduled."""
        times = [at for at in (self._calls.next_at(), self.gate.next_at()) if at is not None]
        return min(times, default=None)

    @property
    def calls(self) -> int:
        """Return the number of calls without a final answer."""
        return len(self._calls)

    def is_busy(self, target: str) -> bool:
        """Return whether an attempt without a result is at this owner."""
        return bool(self._calls.attempts_at(target))

    def pickers(self) -> dict[str, Picker]:
        """Return the picker of each service."""
        return {name: state.picker for name, state in self._services.items()}

    def _end_attempt(
        self, now: float, target: str, result: Answer | Refusal
    ) -> tuple[Call, PendingAttempt, Picker | None] | None:
        """Remove the attempt that a result is for; returns None if the result is late."""
        self._signal_cache.record(now, target, result["load"])
        call = self._calls.by_seq.pop(result["seq"], None)
        if call is None:
            self.count.late += 1
            return None
        state = self._services.get(call.service)
        return call, call.pending.pop(result["seq"]), state.picker if state is not None else None

    def _on_timer(self, now: float, call: Call, kind: Timer) -> list[Action]:
        if now >= call.deadline:
            return self._expire(now, call)
        match kind:
            case Timer.HEDGE:
                return self._hedge(now, call)
            case Timer.FATE_TIMEOUT:
                return self.fates.end_overdue(now, call)
            case Timer.LAST_START:
                return self._withdraw_waiting(now, call)
            case Timer.PARK_TIMEOUT if self._calls.unpark(call.call_id):
                return self._give_up(now, call, NO_CONNECTION, 1.0)
        return []

    def _park(self, now: float, call: Call) -> list[Action]:
        state = self._services.get(call.service)
        if state is None:
            return self._give_up(now, call, "service-removed", 0.0)
        if not (wait_s := rules.max_park_s(now, call, state)):
            return self._give_up(now, call, NO_CONNECTION, 1.0)
        self._calls.park(call)
        self._calls.schedule(now + wait_s, call, Timer.PARK_TIMEOUT)
        return [Connect(rules.owners_for(call, state))]

    def _unpark(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for call in self._calls.unpark_all():
            if call.call_id in self._calls:
                actions += self._attempt(now, call)
        return actions

    def _reject(self, now: float, entry: RejectedRequest) -> Reply:
        call, verdict = entry
        self.count.not_run += 1
        self.count.unidentified += verdict.status == UNAUTHORIZED
        return Reply(call.call_id, verdict, make_record(call, now, verdict, self.generation))

    def _apply_gate(self, now: float, decided: list[GateAction]) -> list[Action]:
        """Apply the quota gate's decisions."""
        actions: list[Action] = []
        for each in decided:
            match each:
                case Begin(call):
                    actions += self._begin(now, call)
                case Refuse(call, verdict):
                    actions += self._finish(now, call, verdict)
                case SendTo():
                    actions.append(each)
        return actions

    def _begin(self, now: float, call: Call) -> list[Action]:
        """Make the first attempt of a call that the quota gate let through."""
        state = self._services.get(call.service)
        if state is None:
            return self._give_up(now, call, "service-removed", 1.0)
        call.admitted = True
        state.budget.record_call(now, call.req.repeat)
        actions = self._attempt(now, call)
        if hedge_s := rules.hedge_after_s(call, state):
            self._calls.schedule(now + hedge_s, call, Timer.HEDGE)
        return actions

    def _attempt(self, now: float, call: Call, first_reason: str = "") -> list[Action]:
        state = self._services.get(call.service)
        pick = rules.pick(now, call, state, self._connected, explain=self.explain)
        if isinstance(pick, NoChoice):
            if pick.reason == NO_CONNECTION and not call.dispatches:
                return self._park(now, call)
            return self._give_up(now, call, first_reason or pick.reason, pick.retry_after_s)
        if call.deadline - now < rules.MIN_BUDGET_S:
            return self._give_up(now, call, rules.DEADLINE_PASSED, 0.0)
        last_start = self._shutdown.last_start(call)
        if now > last_start:
            return self._give_up(now, call, first_reason or DAEMON_LEAVING, 0.0)
        seq = self._calls.next_seq()
        call.dispatches += 1
        call.arrivals += 1
        call.excluded.add(pick.name)
        call.pending[seq] = PendingAttempt(seq, pick.name, pick, now)
        self._calls.by_seq[seq] = call
        if state is not None:
            state.picker.sent(pick.name, seq, now)
        acked = self._calls.oldest_seq(seq)
        expected_s = state.picker.times.mean(call.route) if state is not None else 0.0
        message = dispatch_message(now, call, seq, acked, self.generation, expected_s, last_start)
        return [SendTo(pick.name, OwnerFrame("Dispatch", message))]

    def _retry(self, now: float, call: Call, reason: str, retry_after_s: float) -> list[Action]:
        if call.pending:
            return []
        if quarantined_s := self.admission.quarantined_s(now, call):
            return self._give_up(now, call, QUARANTINED, quarantined_s)
        if now > self._shutdown.last_start(call):
            return self._give_up(now, call, DAEMON_LEAVING, 0.0)
        if not rules.may_retry(now, call, self._services.get(call.service), self.count):
            return self._give_up(now, call, reason, retry_after_s)
        self.count.retried += 1
        return self._attempt(now, call, first_reason=reason)

    def _hedge(self, now: float, call: Call) -> list[Action]:
        # A call that may have crashed an upstream is not sent to a second one meanwhile.
        if len(call.pending) != 1 or self.admission.is_suspect(call):
            return []
        if now > self._shutdown.last_start(call):
            return []
        if not rules.may_retry(now, call, self._services.get(call.service), self.count):
            return []
        self.count.hedged += 1
        return self._attempt(now, call)

    def _give_up(self, now: float, call: Call, reason: str, retry_after_s: float) -> list[Action]:
        if call.pending:
            return []
        return self._finish(now, call, rules.last_verdict(call, NotRun(reason, retry_after_s)))

    def _expire(self, now: float, call: Call) -> list[Action]:
        not_run = NotRun(rules.DEADLINE_PASSED, 0.0, status=504)
        return self._end(now, call, not_run, MayHaveRun(rules.DEADLINE_PASSED, status=504))

    def _end(
        self, now: float, call: Call, not_run: NotRun, may_have_run: MayHaveRun
    ) -> list[Action]:
        """End a call without waiting for its attempts; one that is at an owner may have run."""
        if call.failure is None and (call.pending or call.may_have_run_reason):
            return self._finish(now, call, may_have_run)
        return self._finish(now, call, rules.last_verdict(call, not_run))

    def _withdraw_waiting(self, now: float, call: Call) -> list[Action]:
        """End a call that has not started: at this daemon at once, at owners by a message."""
        if not call.pending:
            return self._give_up(now, call, DAEMON_LEAVING, 0.0)
        return withdraw_waiting(call)

    def _finish(self, now: float, call: Call, verdict: Verdict) -> list[Action]:
        if self._calls.remove(call.call_id) is None:
            return []
        for attempt in call.pending.values():
            call.add_attempt(now, attempt, "withdrawn", 0, 0)
        self.count.ended(verdict)
        self.gate.ended(now, call, ran=not isinstance(verdict, NotRun))
        reply = Reply(call.call_id, verdict, make_record(call, now, verdict, self.generation))
        return [reply, *self._withdraw_all(now, call)]

    def _withdraw_all(self, now: float, call: Call) -> list[Action]:
        actions: list[Action] = []
        state = self._services.get(call.service)
        for seq, attempt in call.pending.items():
            self._calls.by_seq.pop(seq, None)
            if state is not None:
                state.picker.abandoned(attempt.target, seq, now)
            actions.append(SendTo(attempt.target, OwnerFrame("Withdraw", {"seq": seq})))
        call.pending = {}
        return actions
