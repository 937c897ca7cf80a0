"""Picks an upstream of one service: filters candidates, then applies a policy."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.admission.rate_limit import LIMITED
from foldhoist.membership.incarnations import UNNAMED, UpstreamIncarnation
from foldhoist.routing.outliers import OutlierEjection, is_ready_for_trial
from foldhoist.routing.policies import (
    REMOTE_COST_S,
    Mixed,
    Policy,
    Scored,
    choose,
    expected_s,
    recorded_candidates,
)
from foldhoist.routing.times import RouteTimes
from foldhoist.routing.upstream_stats import UpstreamStats

if TYPE_CHECKING:
    from collections.abc import Container, Iterable, Mapping
    from random import Random

    from foldhoist.routing.upstream_stats import SentCall
    from foldhoist.schema.messages import Load

NO_CONNECTION = "no-upstream-connected"
"""Refusal reason: no upstream of the service is connected."""
ALL_EVACUATED = "all-data-centres-evacuated"
"""Refusal reason: every connected upstream is in an evacuated data centre."""
EVACUATED_RETRY_S = 1.0
"""Retry delay after such a refusal, seconds."""
RAMP_S = 2.0
"""Length of the slow start of a new upstream, seconds."""
MIN_REFUSAL_PAUSE_S = 0.02
"""Minimum time for which an upstream is skipped after it refused a call, seconds."""
MAX_REFUSAL_PAUSE_S = 0.05
"""Maximum time for which an upstream is skipped after it refused a call, seconds."""


class Member(NamedTuple):
    """An upstream that the picker may choose; `slots` is the number of calls it runs at once.

    `incarnation` is the one that its owner reports, without a name if it reports none.
    """

    name: str
    data_centre: str
    slots: int
    incarnation: UpstreamIncarnation = UNNAMED


class Choice(NamedTuple):
    """The chosen upstream, the reason, and the best candidates (empty if not asked to explain)."""

    name: str
    reason: str
    candidates: tuple[Scored, ...]


class NoChoice(NamedTuple):
    """No upstream can take the call; the caller may retry after `retry_after_s` seconds."""

    reason: str
    retry_after_s: float


Pick: TypeAlias = Choice | NoChoice


class Picker:
    """Selects among the upstreams of one service; `now` is monotonic time in seconds.

    `eject_share` is the largest share of the upstreams that may be ejected at a time, `evacuated`
    the data centres that get no calls, and `cold_s` the cost, seconds, that the policy `Mixed` adds
    to upstreams that report to be cold. `leaving` has the incarnations known to be
    leaving, which their owners may not know after a restart.
    """

    def __init__(
        self,
        policy: Policy,
        data_centre: str,
        eject_share: float,
        rng: Random,
        leaving: Mapping[str, UpstreamIncarnation] | None = None,
    ) -> None:
        self.policy = policy
        self._leaving = leaving if leaving is not None else {}
        self.data_centre = data_centre
        self.outliers = OutlierEjection(eject_share)
        self.rng = rng
        self.evacuated: frozenset[str] = frozenset()
        self.cold_s = 0.0
        self.tracks: dict[str, UpstreamStats] = {}
        self.times = RouteTimes()
        self._has_members = False

    def members(self, members: Iterable[Member], now: float) -> None:
        """Set the upstreams to choose from; known ones keep their statistics.

        Upstreams added after the first call of this method go through slow start.
        """
        kept: dict[str, UpstreamStats] = {}
        for member in members:
            stats = self.tracks.get(member.name)
            if stats is None:
                ramp_start = now if self._has_members else now - RAMP_S
                stats = UpstreamStats(member.name, member.data_centre, member.slots, ramp_start)
            stats.incarnation = member.incarnation
            kept[member.name] = stats
        self.tracks = kept
        self._has_members = True

    def pick(
        self,
        now: float,
        excluded: Container[str],
        explain: bool = True,
        route: str = "",
        remote_s: float = REMOTE_COST_S,
        start_by: float = float("inf"),
    ) -> Pick:
        """Choose an upstream for one call, other than the excluded ones.

        `remote_s` is the cost that the policy `Mixed` adds to upstreams in another data centre,
        seconds of a call of `route`. An upstream whose rate limit lets the call start only after
        `start_by`, and not now, is skipped. Without `explain` the choice lists no candidates.
        """
        candidates: list[UpstreamStats] = []
        ejected: list[UpstreamStats] = []
        trial: UpstreamStats | None = None
        for stats in self.tracks.values():
            if not self._may_get_calls(stats, excluded):
                continue
            if stats.backoff_until > now or stats.earliest_start > max(now, start_by):
                continue
            if stats.ejected_until > now:
                ejected.append(stats)
                continue
            if stats.trial_left:
                if trial is None and is_ready_for_trial(stats, now):
                    trial = stats
                continue
            if self._has_ramp_capacity(stats, now):
                candidates.append(stats)
        if trial is not None:
            return self._make_choice(trial, "trial", [*candidates, trial], now, explain)
        reason = "least-cost"
        scores: list[float] | None = None
        if not candidates:
            candidates = ejected or self._trial_upstreams(excluded)
            latest = max(now, start_by)
            candidates = [stats for stats in candidates if stats.earliest_start <= latest]
            reason = "only-ejected-left"
        if not candidates:
            return self._no_choice(now, excluded)
        if len(candidates) == 1:
            stats = candidates[0]
            reason = "only-one-open" if reason == "least-cost" else reason
        else:
            scaled_s = remote_s * self.times.scale(route)
            stats, scores = choose(self.policy, candidates, now, self.rng, scaled_s, self.cold_s)
        return self._make_choice(stats, reason, candidates, now, explain, scores)

    def _trial_upstreams(self, excluded: Container[str]) -> list[UpstreamStats]:
        return [
            stats
            for stats in self.tracks.values()
            if stats.trial_left and self._may_get_calls(stats, excluded)
        ]

    def _may_get_calls(self, stats: UpstreamStats, excluded: Container[str]) -> bool:
        """Return whether calls may go to this upstream at all, now or after a pause."""
        if not stats.connected or not stats.accepts_calls or stats.name in excluded:
            return False
        left = self._leaving.get(stats.name)
        if left is not None and stats.incarnation.instance and left.is_same(stats.incarnation):
            return False
        return stats.data_centre not in self.evacuated

    def _make_choice(
        self,
        stats: UpstreamStats,
        reason: str,
        candidates: list[UpstreamStats],
        now: float,
        explain: bool,
        scores: list[float] | None = None,
    ) -> Choice:
        if not explain:
            return Choice(stats.name, reason, ())
        if scores is None:
            scores = expected_s(candidates, self.data_centre, now)
        return Choice(stats.name, reason, recorded_candidates(candidates, stats, scores, now))

    def sent(self, name: str, seq: int, now: float) -> None:
        """Record that a call was sent to this upstream."""
        stats = self.tracks.get(name)
        if stats is not None:
            stats.sent(seq, now)

    def answered(
        self,
        name: str,
        seq: int,
        now: float,
        failed: bool,
        load: Load,
        ahead: int = -1,
        route: str = "",
        size: int = 0,
        served_s: float = 0.0,
        waited_s: float = 0.0,
    ) -> None:
        """Record an answer.

        `ahead` is the number of calls that were at the upstream before this one, -1 if unknown.
        `size` is the bytes of both bodies. `served_s` is the service time without queueing, used
        for the route's mean; if it is 0, unknown, the latency is used. `waited_s` is the wait at
        the owner, which does not show that an upstream with a rate limit is slow.
        """
        stats = self.tracks.get(name)
        if stats is None:
            return
        sent = stats.ended(seq)
        stats.update_load(load, now)
        if sent is None:
            return
        self._update_estimates(sent, ahead, load.get("pace", 0))
        latency_s = now - sent.at - (waited_s if stats.limit_per_s is not None else 0.0)
        if route and not failed:
            self.times.update(route, served_s or latency_s, size)
        self._record_result(stats, now, latency_s * self.times.scale(route), failed)

    def refused(self, name: str, seq: int, now: float, retry_after_s: float, load: Load) -> None:
        """Record a refusal, and skip the upstream for `retry_after_s` seconds, within bounds.

        An upstream with a rate limit is not skipped: its load has the earliest start of a call.
        """
        stats = self.tracks.get(name)
        if stats is None:
            return
        stats.ended(seq)
        stats.update_load(load, now)
        if stats.earliest_start > now:
            return
        pause_s = min(MAX_REFUSAL_PAUSE_S, max(MIN_REFUSAL_PAUSE_S, retry_after_s))
        stats.backoff_until = max(stats.backoff_until, now + pause_s)

    def lost(self, name: str, seq: int, now: float) -> None:
        """Record as failed a call that ended without an answer or a refusal."""
        stats = self.tracks.get(name)
        if stats is None:
            return
        sent = stats.ended(seq)
        if sent is not None:
            self._record_result(stats, now, now - sent.at, failed=True)

    def abandoned(self, name: str, seq: int, now: float) -> None:
        """Record that the answer of a call is no longer awaited.

        Its time so far counts as a result if it is longer than the mean latency of the upstream.
        """
        stats = self.tracks.get(name)
        sent = stats.ended(seq) if stats is not None else None
        if stats is not None and sent is not None and now - sent.at > stats.latency_s:
            self._record_result(stats, now, now - sent.at, failed=False)

    def reported(self, name: str, now: float, load: Load) -> None:
        """Record an unsolicited load report of the owner."""
        stats = self.tracks.get(name)
        if stats is None:
            return
        stats.update_load(load, now)

    def linked(self, name: str, now: float, up: bool, fresh: bool) -> None:
        """Record that the connection to the owner is up or down.

        `fresh` with `up` marks a new incarnation, whose results and load start anew.
        """
        stats = self.tracks.get(name)
        if stats is None:
            return
        stats.connected = up
        if up and fresh:
            self._reset_stats(stats, now)

    def _update_estimates(self, sent: SentCall, ahead: int, pace: int) -> None:
        match self.policy:
            case Mixed(trust=trust, paces=paces):
                if ahead >= 0:
                    trust.update(sent.own, sent.others, ahead)
                if pace:
                    paces.update(pace)

    def _reset_stats(self, stats: UpstreamStats, now: float) -> None:
        if stats.load is not None or stats.results:
            stats.ramp_start = now
        stats.accepts_calls = True
        stats.results = 0
        stats.errors = 0.0
        stats.latency_s = 0.0
        stats.load = None
        stats.other_calls = 0

    def _has_ramp_capacity(self, stats: UpstreamStats, now: float) -> bool:
        age = now - stats.ramp_start
        if age >= RAMP_S:
            return True
        return stats.in_flight < max(1.0, stats.slots * age / RAMP_S)

    def _record_result(
        self, stats: UpstreamStats, now: float, latency_s: float, failed: bool
    ) -> None:
        self.outliers.record_result(self.tracks, stats, now, latency_s, failed)

    def _no_choice(self, now: float, excluded: Container[str]) -> NoChoice:
        busy = [
            stats
            for stats in self.tracks.values()
            if stats.open_at > now and self._may_get_calls(stats, ())
        ]
        if busy:
            first = min(busy, key=lambda stats: stats.open_at)
            is_limited = first.earliest_start > first.backoff_until
            return NoChoice(LIMITED if is_limited else "all-upstreams-full", first.open_at - now)
        upstreams = [stats for stats in self.tracks.values() if stats.connected]
        if upstreams and all(stats.data_centre in self.evacuated for stats in upstreams):
            return NoChoice(ALL_EVACUATED, EVACUATED_RETRY_S)
        if any(stats.connected and stats.name in excluded for stats in self.tracks.values()):
            return NoChoice("no-other-upstream", 0.1)
        if any(stats.connected for stats in self.tracks.values()):
            return NoChoice("all-upstreams-leaving-or-busy", 0.5)
        return NoChoice(NO_CONNECTION, 1.0)
