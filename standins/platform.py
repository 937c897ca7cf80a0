"""A stand-in for the platform: an append-only log with offsets, and a lagging host list.

Appends are rate-limited and retention is bounded. `POST /control` with a JSON object sets the
fields of `Platform`: outages, delays, lost answers, lag of the host list.
"""

from __future__ import annotations

import asyncio
import base64
import json
import sys
import time
from typing import Any

import defopt
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from foldhoist.admission.bucket import TokenBucket

APPENDS_PER_S = 100.0
"""Rate limit of appends, per second, and burst; further appends get status 429."""


class Stream:
    """Records of one stream with the times of their appends; expired ones are dropped."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[float, bytes]] = []

    def append(self, data: bytes) -> int:
        """Append a record; returns its offset."""
        self.records.append((time.monotonic(), data))
        return self.first + len(self.records) - 1

    def expire(self, keep_s: float) -> None:
        """Drop the records older than this, seconds."""
        limit = time.monotonic() - keep_s
        while self.records and self.records[0][0] < limit:
            self.records.pop(0)
            self.first += 1


class Platform:
    """State and injected faults of the stand-in."""

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.expire_before = 0
        self.appends = 0
        self.reads = 0
        self.host_reads = 0
        self.lag_s = 0.0
        self.streams: dict[str, Stream] = {}
        self.hosts: dict[str, list[tuple[float, str]]] = {}
        self.bucket = TokenBucket(APPENDS_PER_S, APPENDS_PER_S, time.monotonic())

    def change(self, fields: dict[str, Any]) -> None:
        """Set fields by name; states under `hosts` enter the host list after its lag."""
        for name, state in fields.pop("hosts", {}).items():
            self.hosts.setdefault(name, []).append((time.monotonic(), state))
        for name, value in fields.items():
            setattr(self, name, value)

    def host(self, name: str) -> str:
        """Return the state of a host as the host list shows it, `lag_s` late."""
        listed = "live"
        for at, state in self.hosts.get(name, []):
            if time.monotonic() - at >= self.lag_s:
                listed = state
        return listed


class _Handler(RequestHandler):
    def initialize(self, platform: Platform) -> None:
        self.platform = platform

    async def prepare(self) -> None:
        if self.request.path == "/control":
            return
        if self.platform.delay_s:
            await asyncio.sleep(self.platform.delay_s)
        if self.platform.down:
            self.send_error(503)


class _Streams(_Handler):
    def get(self, name: str) -> None:
        platform = self.platform
        platform.reads += 1
        stream = platform.streams.setdefault(name, Stream())
        stream.expire(platform.keep_s)
        begin = max(int(self.get_query_argument("from", "0")), stream.first)
        limit = int(self.get_query_argument("limit", "100"))
        at = begin - stream.first
        records = [
            {"offset": begin + i, "data": base64.b64encode(data).decode()}
            for i, (_, data) in enumerate(stream.records[at : at + limit])
        ]
        end = stream.first + len(stream.records)
        self.finish({"oldest": stream.first, "next": end, "records": records})

    def post(self, name: str) -> None:
        platform = self.platform
        if not platform.bucket.take(time.monotonic()):
            self.send_error(429)
            return
        platform.appends += 1
        stream = platform.streams.setdefault(name, Stream())
        offset = stream.append(self.request.body)
        if platform.lose_answers > 0:
            platform.lose_answers -= 1
            self.detach().close()
            return
        self.finish({"offset": offset})


class _Hosts(_Handler):
    def get(self, name: str) -> None:
        self.platform.host_reads += 1
        self.finish({"name": name, "state": self.platform.host(name)})


class _Control(_Handler):
    def get(self) -> None:
        platform = self.platform
        self.finish(
            {
                "appends": platform.appends,
                "reads": platform.reads,
                "host_reads": platform.host_reads,
            }
        )

    def post(self) -> None:
        self.platform.change(json.loads(self.request.body))
        self.finish({})


async def serve(platform: Platform, address: str) -> None:
    """Serve until cancelled; prints the bound address as one JSON line."""
    shared = {"platform": platform}
    app = Application(
        [
            (r"/streams/([a-z-]+)", _Streams, shared),
            (r"/hosts/([a-z0-9-]+)", _Hosts, shared),
            (r"/control", _Control, shared),
        ],
        log_function=lambda handler: None,
    )
    host, _, port = address.rpartition(":")
    sockets = bind_sockets(int(port), host)
    HTTPServer(app, max_buffer_size=1 << 28).add_sockets(sockets)
    found = "{}:{}".format(*sockets[0].getsockname()[:2])
    sys.stdout.write(json.dumps({"address": found}) + "\n")
    sys.stdout.flush()
    await asyncio.Event().wait()


def main(*, listen: str = "127.0.0.1:0", keep_s: float = 86400.0) -> None:
    """Run a platform stand-in.

    :param listen: Address to listen on.
    :param keep_s: Retention of records, seconds.
    """
    asyncio.run(serve(Platform(keep_s), listen))


if __name__ == "__main__":
    defopt.run(main)
