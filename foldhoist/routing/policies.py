"""Load balancing policies; each is a data class, selected in the configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

from foldhoist.routing.times import PaceEstimates
from foldhoist.routing.trust import Trust
from foldhoist.routing.upstream_stats import STALE_S, UNKNOWN_SERVICE_S

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from foldhoist.routing.upstream_stats import UpstreamStats

REMOTE_COST_S = 0.001
"""Default cost added for an upstream in another data centre, seconds."""
TOLERATED_ERRORS = 0.05
"""Error shares up to this do not raise the cost of an upstream."""
ERROR_COST = 10.0
"""Added cost at an error share of 1, as a multiple of the expected time."""
MAX_RECORDED = 4
"""Maximum number of candidates in a decision record."""
SIMILAR_FACTOR = 2.0
"""Service times up to this multiple of the shortest count as equal; docs/design/choosing.md."""
TIE_TOLERANCE = 0.05
"""Scores within this share of the best count as equal; one of them is drawn at random."""


@dataclass(frozen=True)
class RandomChoice:
    """Picks uniformly at random."""


@dataclass
class RoundRobin:
    """Picks the upstreams in turn."""

    turn: int = 0


@dataclass(frozen=True)
class LeastInFlight:
    """Picks the upstream with the fewest calls in flight from this daemon."""


@dataclass(frozen=True)
class TwoChoices:
    """Picks the less occupied of two random upstreams."""


@dataclass(frozen=True)
class HotCold:
    """Picks the fastest of the cold upstreams, as Prequal does.

    An upstream is hot if its occupancy is above the `quantile` of all, else cold, whatever state it
    reports. If none is hot and one may be full, the least occupied is picked (Wydrowski and others,
    "Load is not what you should balance: introducing Prequal", NSDI 2024).
    """

    quantile: float = 0.7


@dataclass(frozen=True)
class Mixed:
    """Picks the least expected time, by latency, calls in flight, load, errors and distance."""

    data_centre: str = ""
    trust: Trust = field(default_factory=Trust)
    paces: PaceEstimates = field(default_factory=PaceEstimates)


Policy: TypeAlias = RandomChoice | RoundRobin | LeastInFlight | TwoChoices | HotCold | Mixed


class Scored(NamedTuple):
    """A candidate of a choice with its score and inputs; times in seconds.

    `report_age_s` is -1 without a load report.
    """

    name: str
    score: float
    in_flight: int
    occupancy: float
    latency_s: float
    report_age_s: float
    state: str


def make_policy(name: str, data_centre: str) -> Policy:
    """Return the policy of this name; an unknown name gives `Mixed`."""
    match name:
        case "random":
            return RandomChoice()
        case "round-robin":
            return RoundRobin()
        case "least-in-flight":
            return LeastInFlight()
        case "two-choices":
            return TwoChoices()
        case "hot-cold":
            return HotCold()
    return Mixed(data_centre)


def choose(
    policy: Policy,
    candidates: Sequence[UpstreamStats],
    now: float,
    rng: Random,
    remote_s: float = REMOTE_COST_S,
    cold_s: float = 0.0,
) -> tuple[UpstreamStats, list[float] | None]:
    """Return the upstream that the policy picks, and the expected times if it computed them.

    `candidates` must not be empty.
    """
    if isinstance(policy, Mixed):
        scores = expected_s(
            candidates, policy.data_centre, now, policy.trust.weight, policy.paces, remote_s, cold_s
        )
        return _lowest(candidates, scores, rng), scores
    return _choose_by_simple_policy(policy, candidates, now, rng), None


def _choose_by_simple_policy(
    policy: Policy, candidates: Sequence[UpstreamStats], now: float, rng: Random
) -> UpstreamStats:
    match policy:
        case RoundRobin():
            policy.turn += 1
            return candidates[policy.turn % len(candidates)]
        case LeastInFlight():
            return _lowest(candidates, [float(stats.in_flight) for stats in candidates], rng)
        case TwoChoices():
            return _less_occupied_of_two(candidates, now, rng)
        case HotCold():
            return _hot_cold(policy, candidates, now, rng)
    return candidates[int(rng.random() * len(candidates))]


def expected_s(
    candidates: Sequence[UpstreamStats],
    data_centre: str,
    now: float,
    trust: float = 1.0,
    paces: PaceEstimates | None = None,
    remote_s: float = REMOTE_COST_S,
    cold_s: float = 0.0,
) -> list[float]:
    """Return the expected time of one more call at each candidate, with penalties, seconds.

    The wait for the rate limit of an upstream is included.

    `trust` weights the calls of other daemons, `remote_s` is added for another data centre, and
    `cold_s` is added for a cold upstream.

    Service times up to `SIMILAR_FACTOR` times the shortest count as equal to it, so that noise does
    not concentrate calls on one upstream.
    """
    times: list[float] = []
    for stats in candidates:
        if stats.in_flight or now - stats.last_result_at > STALE_S:
            times.append(stats.service_s(now))
        else:
            times.append(stats.latency_s if stats.results else UNKNOWN_SERVICE_S)
    fastest = min(times)
    costs: list[float] = []
    for stats, time_s in zip(candidates, times, strict=True):
        cost = fastest if time_s <= fastest * SIMILAR_FACTOR else time_s
        if stats.in_flight or stats.other_calls:
            cost *= _occupancy_factor(stats, now, trust)
        if stats.errors > TOLERATED_ERRORS:
            cost *= 1.0 + ERROR_COST * stats.decayed_errors(now)
        if paces is not None and stats.pace:
            cost *= paces.factor(stats.pace, now - stats.load_at - stats.pace_kept_s)
        if stats.data_centre != data_centre:
            cost += remote_s
        if stats.load is not None and stats.load["state"] == "cold":
            cost += cold_s
        if stats.earliest_start > now:
            cost += stats.limit_wait_s(now)
        costs.append(cost)
    return costs


def _occupancy_factor(stats: UpstreamStats, now: float, trust: float) -> float:
    occupancy = stats.occupancy(now, trust)
    slots = stats.slots
    factor = 1.0 + occupancy / slots
    if occupancy >= slots:
        factor += (occupancy + 1.0 - slots) / slots
    return factor


def recorded_candidates(
    candidates: Sequence[UpstreamStats], chosen: UpstreamStats, scores: Sequence[float], now: float
) -> tuple[Scored, ...]:
    """Return the candidates to record: those with the lowest scores, always with the chosen one."""
    best = sorted(range(len(candidates)), key=scores.__getitem__)[:MAX_RECORDED]
    at = candidates.index(chosen)
    if at not in best:
        best[-1] = at
    return tuple(_scored(candidates[each], scores[each], now) for each in best)


def _scored(stats: UpstreamStats, score: float, now: float) -> Scored:
    load = stats.load
    return Scored(
        stats.name,
        score,
        stats.in_flight,
        stats.occupancy(now),
        stats.latency_s,
        now - stats.load_at if load is not None else -1.0,
        load["state"] if load is not None else "unknown",
    )


def _lowest(candidates: Sequence[UpstreamStats], scores: list[float], rng: Random) -> UpstreamStats:
    limit = min(scores) * (1.0 + TIE_TOLERANCE)
    best = [stats for stats, score in zip(candidates, scores, strict=True) if score <= limit]
    if len(best) == 1:
        return best[0]
    return best[int(rng.random() * len(best))]


def _less_occupied_of_two(
    candidates: Sequence[UpstreamStats], now: float, rng: Random
) -> UpstreamStats:
    first = candidates[int(rng.random() * len(candidates))]
    second = candidates[int(rng.random() * len(candidates))]
    return second if second.occupancy(now) < first.occupancy(now) else first


def _hot_cold(
    policy: HotCold, candidates: Sequence[UpstreamStats], now: float, rng: Random
) -> UpstreamStats:
    occupancies = [stats.occupancy(now) for stats in candidates]
    limit = sorted(occupancies)[int(policy.quantile * (len(occupancies) - 1))]
    cold = [
        stats
        for stats, occupancy in zip(candidates, occupancies, strict=True)
        if occupancy <= limit
    ]
    if len(cold) == len(candidates) and limit >= min(stats.slots for stats in candidates):
        return _lowest(candidates, occupancies, rng)
    return _lowest(cold, [stats.service_s(now) for stats in cold], rng)
