"""Chooses an upstream of one service: who may be chosen, ejection, slow start, then a policy."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.routing.policies import (
    REMOTE_COST_S,
    Mixed,
    Policy,
    Scored,
    choose,
    expected_s,
    shown,
)
from foldhoist.routing.times import RouteTimes
from foldhoist.routing.upstream_stats import UpstreamStats

if TYPE_CHECKING:
    from collections.abc import Container, Iterable
    from random import Random

    from foldhoist.routing.upstream_stats import SentCall
    from foldhoist.schema.messages import Load

NO_CONNECTION = "no-upstream-connected"
"""Reason of a refusal for want of any connection."""
ALL_EVACUATED = "all-data-centres-evacuated"
"""Reason of a refusal where every upstream that is connected is in an evacuated data centre."""
EVACUATED_RETRY_S = 1.0
"""When to ask again then, seconds: an evacuation stands for seconds at least."""
EJECT_ERRORS = 0.5
"""Share of recent errors from which on an upstream is ejected."""
EJECT_RESULTS = 3
"""Results needed before an upstream is judged."""
EJECT_SLOWER = 6.0
"""An upstream this many times slower than the median of the others is ejected."""
EJECT_SLOW_S = 0.01
"""Slowness below this is never a reason, seconds."""
EJECT_FIRST_S = 0.5
"""Length of a first ejection, seconds; it doubles each time."""
EJECT_LONGEST_S = 30.0
"""Longest ejection, seconds."""
TRIAL_CALLS = 3
"""Good answers that a returning upstream must give, one at a time."""
TRIAL_PAUSE_S = 0.05
"""Time between two of these, seconds."""
RAMP_S = 2.0
"""A new upstream is given its full share after this long, seconds."""
REFUSED_S = 0.02
"""An upstream that refused is left out at least this long, seconds."""
REFUSED_LONGEST_S = 0.05
"""An upstream that refused is left out at most this long, seconds."""


class Member(NamedTuple):
    """An upstream that this daemon tracks."""

    name: str
    data_centre: str
    slots: int


class Choice(NamedTuple):
    """The chosen upstream, why, and the candidates it was chosen from."""

    name: str
    reason: str
    candidates: tuple[Scored, ...]


class NoChoice(NamedTuple):
    """No upstream may get the call; ask again after `retry_after_s` seconds."""

    reason: str
    retry_after_s: float


Pick: TypeAlias = Choice | NoChoice


class Picker:
    """The upstreams of one service as one daemon sees them; `now` is in seconds, monotonic."""

    def __init__(self, policy: Policy, data_centre: str, eject_share: float, rng: Random) -> None:
        self.policy = policy
        self.data_centre = data_centre
        self.eject_share = eject_share
        self.rng = rng
        self.evacuated: frozenset[str] = frozenset()
        self.cold_s = 0.0
        self.tracks: dict[str, UpstreamStats] = {}
        self.times = RouteTimes()
        self._started = False

    def members(self, members: Iterable[Member], now: float) -> None:
        """Set the upstreams to choose from; those known already keep what is known of them."""
        kept: dict[str, UpstreamStats] = {}
        for member in members:
            track = self.tracks.get(member.name)
            if track is None:
                since = now if self._started else now - RAMP_S
                track = UpstreamStats(member.name, member.data_centre, member.slots, since)
            kept[member.name] = track
        self.tracks = kept
        self._started = True

    def pick(
        self,
        now: float,
        excluded: Container[str],
        explain: bool = True,
        route: str = "",
        remote_s: float = REMOTE_COST_S,
    ) -> Pick:
        """Choose an upstream for one call, other than the excluded ones.

        `remote_s` is what a call of this route to another data centre costs beside its time.
        """
        open_ones: list[UpstreamStats] = []
        ejected: list[UpstreamStats] = []
        trial: UpstreamStats | None = None
        for track in self.tracks.values():
            if not track.linked or not track.standing or track.name in excluded:
                continue
            if track.data_centre in self.evacuated:
                continue
            if track.backoff_until > now:
                continue
            if track.ejected_until > now:
                ejected.append(track)
                continue
            if track.trial_left:
                trial = trial or self._trial(track, now)
                continue
            if self._has_room(track, now):
                open_ones.append(track)
        if trial is not None:
            return self._chosen(trial, "trial", [*open_ones, trial], now, explain)
        reason = "least-cost"
        scores: list[float] | None = None
        if not open_ones:
            open_ones = ejected or self._on_trial(excluded)
            reason = "only-ejected-left"
        if not open_ones:
            return self._none(now, excluded)
        if len(open_ones) == 1:
            track = open_ones[0]
            reason = "only-one-open" if reason == "least-cost" else reason
        else:
            scaled_s = remote_s * self.times.scale(route)
            track, scores = choose(self.policy, open_ones, now, self.rng, scaled_s, self.cold_s)
        return self._chosen(track, reason, open_ones, now, explain, scores)

    def _on_trial(self, excluded: Container[str]) -> list[UpstreamStats]:
        return [
            track
            for track in self.tracks.values()
            if track.trial_left
            and track.linked
            and track.standing
            and track.name not in excluded
            and track.data_centre not in self.evacuated
        ]

    def _chosen(
        self,
        track: UpstreamStats,
        reason: str,
        among: list[UpstreamStats],
        now: float,
        explain: bool,
        scores: list[float] | None = None,
    ) -> Choice:
        if not explain:
            return Choice(track.name, reason, ())
        if scores is None:
            scores = expected_s(among, self.data_centre, now)
        return Choice(track.name, reason, shown(among, track, scores, now))

    def sent(self, name: str, seq: int, now: float) -> None:
        """Count a call that was sent to this upstream."""
        track = self.tracks.get(name)
        if track is not None:
            track.sent(seq, now)

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
    ) -> None:
        """Take in an answer; `ahead` is the number of calls that it met, -1 if unknown.

        `served_s` is the time of the work itself, 0 if unknown: waiting in line says nothing of how
        long calls of the route take.
        """
        track = self.tracks.get(name)
        if track is None:
            return
        sent = track.ended(seq)
        track.learned(load, now)
        self._take_state(track, load)
        if sent is None:
            return
        self._learn(sent, ahead, load.get("pace", 0))
        latency_s = now - sent.at
        if route and not failed:
            self.times.learned(route, served_s or latency_s, size)
        self._judge(track, now, latency_s * self.times.scale(route), failed)

    def refused(self, name: str, seq: int, now: float, retry_after_s: float, load: Load) -> None:
        """Take in a refusal: leave the upstream out until it may have room again."""
        track = self.tracks.get(name)
        if track is None:
            return
        track.ended(seq)
        track.learned(load, now)
        self._take_state(track, load)
        pause = min(REFUSED_LONGEST_S, max(REFUSED_S, retry_after_s))
        track.backoff_until = max(track.backoff_until, now + pause)

    def lost(self, name: str, seq: int, now: float) -> None:
        """Take in a call that ended without answer or refusal."""
        track = self.tracks.get(name)
        if track is None:
            return
        sent = track.ended(seq)
        if sent is not None:
            self._judge(track, now, now - sent.at, failed=True)

    def abandoned(self, name: str, seq: int, now: float) -> None:
        """Take in a call that nobody waits for any more; it took at least as long as until now."""
        track = self.tracks.get(name)
        sent = track.ended(seq) if track is not None else None
        if track is not None and sent is not None and now - sent.at > track.latency_s:
            self._judge(track, now, now - sent.at, failed=False)

    def reported(self, name: str, now: float, load: Load) -> None:
        """Take in a report of the owner's that came by itself."""
        track = self.tracks.get(name)
        if track is None:
            return
        track.learned(load, now)
        self._take_state(track, load)

    def linked(self, name: str, now: float, up: bool, fresh: bool) -> None:
        """Take in that the connection to the owner stands or fell; `fresh` marks a new life."""
        track = self.tracks.get(name)
        if track is None:
            return
        track.linked = up
        if up and fresh:
            self._forget(track, now)

    def _learn(self, sent: SentCall, ahead: int, pace: int) -> None:
        match self.policy:
            case Mixed(trust=trust, paces=paces):
                if ahead >= 0:
                    trust.learned(sent.own, sent.others, ahead)
                if pace:
                    paces.learned(pace)

    def _forget(self, track: UpstreamStats, now: float) -> None:
        if track.load is not None or track.results:
            track.since = now
        track.standing = True
        track.results = 0
        track.errors = 0.0
        track.latency_s = 0.0
        track.load = None
        track.others = 0

    def _take_state(self, track: UpstreamStats, load: Load) -> None:
        track.standing = load["state"] not in ("leaving", "down", "refusing")

    def _trial(self, track: UpstreamStats, now: float) -> UpstreamStats | None:
        """Return the upstream if a call is to find out now whether it has recovered."""
        return track if track.in_flight == 0 and now - track.last_at >= TRIAL_PAUSE_S else None

    def _has_room(self, track: UpstreamStats, now: float) -> bool:
        age = now - track.since
        if age >= RAMP_S:
            return True
        return track.in_flight < max(1.0, track.slots * age / RAMP_S)

    def _judge(self, track: UpstreamStats, now: float, latency_s: float, failed: bool) -> None:
        track.measured(now, latency_s, failed)
        if track.trial_left:
            self._judge_trial(track, now, latency_s, failed)
            return
        if track.ejected_until > now or track.results < EJECT_RESULTS:
            return
        if track.errors >= EJECT_ERRORS or self._is_slow(track.latency_s, track.name):
            self._eject(track, now)

    def _judge_trial(
        self, track: UpstreamStats, now: float, latency_s: float, failed: bool
    ) -> None:
        if failed or self._is_slow(latency_s, track.name):
            self._eject(track, now)
            return
        track.trial_left -= 1
        if track.trial_left == 0:
            track.ejections = 0
            track.errors = 0.0
            track.latency_s = latency_s

    def _is_slow(self, latency_s: float, name: str) -> bool:
        if latency_s < EJECT_SLOW_S:
            return False
        others = [
            track.latency_s
            for track in self.tracks.values()
            if track.name != name and track.results >= EJECT_RESULTS
        ]
        return bool(others) and latency_s > EJECT_SLOWER * median(others)

    def _eject(self, track: UpstreamStats, now: float) -> None:
        out = sum(1 for each in self.tracks.values() if each.ejected_until > now)
        if out + 1 > self.eject_share * len(self.tracks):
            return
        length = min(EJECT_LONGEST_S, EJECT_FIRST_S * 2**track.ejections)
        track.ejections += 1
        track.ejected_until = now + length
        track.trial_left = TRIAL_CALLS

    def _none(self, now: float, excluded: Container[str]) -> NoChoice:
        waits = [
            track.backoff_until - now
            for track in self.tracks.values()
            if track.backoff_until > now and track.linked and track.standing
        ]
        if waits:
            return NoChoice("all-upstreams-full", min(waits))
        linked = [track for track in self.tracks.values() if track.linked]
        if linked and all(track.data_centre in self.evacuated for track in linked):
            return NoChoice(ALL_EVACUATED, EVACUATED_RETRY_S)
        if any(track.linked and track.name in excluded for track in self.tracks.values()):
            return NoChoice("no-other-upstream", 0.1)
        if any(track.linked for track in self.tracks.values()):
            return NoChoice("all-upstreams-leaving-or-busy", 0.5)
        return NoChoice(NO_CONNECTION, 1.0)
