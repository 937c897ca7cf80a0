"""Chooses among three upstreams by what is known of each; needs no daemon."""

import random

from foldhoist.routing.picker import Choice, Member, Picker
from foldhoist.routing.policies import Mixed

picker = Picker(Mixed("here"), "here", eject_share=0.5, rng=random.Random(1))
picker.members([Member("a", "here", 4), Member("b", "here", 4), Member("c", "there", 4)], now=0.0)
for name in picker.tracks:
    picker.linked(name, 0.0, up=True, fresh=True)

times = {"a": 0.002, "b": 0.040, "c": 0.003}
now, counts = 0.0, dict.fromkeys(times, 0)
for seq in range(300):
    choice = picker.pick(now, excluded=())
    assert isinstance(choice, Choice)
    picker.sent(choice.name, seq, now)
    now += times[choice.name]
    load = {"busy": 0, "queued": 0, "slots": 4, "service_us": 0, "errors": 0.0, "state": "warm"}
    picker.answered(choice.name, seq, now, failed=False, load=load)
    counts[choice.name] += 1
print(counts)
