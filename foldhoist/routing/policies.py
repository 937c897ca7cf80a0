"""Ways to choose among upstreams; each is a data class, selected in the configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from foldhoist.routing.track import Track

REMOTE_COST_S = 0.001
"""What a call to another data centre costs beside its service time, seconds."""
TIE = 0.05
"""Scores closer than this share of the best one count as equal and are drawn by lot."""


@dataclass(frozen=True)
class RandomChoice:
    """Any upstream, with equal chance."""


@dataclass
class RoundRobin:
    """One after the other."""

    turn: int = 0


@dataclass(frozen=True)
class LeastInFlight:
    """The one with the fewest calls of this daemon's own in flight."""


@dataclass(frozen=True)
class TwoChoices:
    """The less occupied of two drawn by lot."""


@dataclass(frozen=True)
class HotCold:
    """Prequal's rule: of the less occupied ones the fastest, else the least occupied.

    Requests in flight above the `quantile` of all make an upstream hot (Wydrowski and others,
    "Load is not what you should balance: introducing Prequal", NSDI 2024).
    """

    quantile: float = 0.7


@dataclass(frozen=True)
class Mixed:
    """The least expected time, from own calls in flight, aged reports and distance."""

    data_centre: str = ""


Policy: TypeAlias = RandomChoice | RoundRobin | LeastInFlight | TwoChoices | HotCold | Mixed


class Scored(NamedTuple):
    """A candidate with the inputs that its choice rested on; ages and times in seconds."""

    name: str
    score: float
    in_flight: int
    occupancy: float
    latency_s: float
    report_age_s: float
    state: str


def make_policy(name: str, data_centre: str) -> Policy:
    """Return the policy of this name from the configuration."""
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


def choose(policy: Policy, among: Sequence[Track], now: float, rng: Random) -> Track:
    """Return the upstream that the policy picks; `among` is not empty."""
    match policy:
        case RandomChoice():
            return among[int(rng.random() * len(among))]
        case RoundRobin():
            policy.turn += 1
            return among[policy.turn % len(among)]
        case LeastInFlight():
            return _least(among, [float(track.in_flight) for track in among], rng)
        case TwoChoices():
            return _less_occupied_of_two(among, now, rng)
        case HotCold():
            return _hot_cold(policy, among, now, rng)
        case Mixed():
            scores = [expected_s(track, policy.data_centre, now) for track in among]
            return _least(among, scores, rng)


def expected_s(track: Track, data_centre: str, now: float) -> float:
    """Return the expected time of one more call there, seconds, errors and distance included."""
    service = track.service_s(now)
    occupancy = track.occupancy(now)
    slots = track.slots
    cost = service * (1.0 + occupancy / slots)
    if occupancy >= slots:
        cost += service * (occupancy + 1.0 - slots) / slots
    if track.errors > 0.05:
        cost += service * 10.0 * track.errors
    if track.data_centre != data_centre:
        cost += REMOTE_COST_S
    return cost


def scored(track: Track, data_centre: str, now: float) -> Scored:
    """Return the inputs of a candidate for its decision record."""
    load = track.load
    return Scored(
        track.name,
        expected_s(track, data_centre, now),
        track.in_flight,
        track.occupancy(now),
        track.latency_s,
        now - track.load_at if load is not None else -1.0,
        load["state"] if load is not None else "unknown",
    )


def _least(among: Sequence[Track], scores: list[float], rng: Random) -> Track:
    limit = min(scores) * (1.0 + TIE)
    best = [track for track, score in zip(among, scores, strict=True) if score <= limit]
    if len(best) == 1:
        return best[0]
    return best[int(rng.random() * len(best))]


def _less_occupied_of_two(among: Sequence[Track], now: float, rng: Random) -> Track:
    first = among[int(rng.random() * len(among))]
    second = among[int(rng.random() * len(among))]
    return second if second.occupancy(now) < first.occupancy(now) else first


def _hot_cold(policy: HotCold, among: Sequence[Track], now: float, rng: Random) -> Track:
    levels = [track.occupancy(now) for track in among]
    limit = sorted(levels)[int(policy.quantile * (len(levels) - 1))]
    cold = [track for track, level in zip(among, levels, strict=True) if level <= limit]
    if len(cold) == len(among) and limit >= min(track.slots for track in among):
        return _least(among, levels, rng)
    return _least(cold, [track.service_s(now) for track in cold], rng)
