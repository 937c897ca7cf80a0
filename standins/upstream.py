"""A stand-in for an upstream: echoes request bodies and counts executions.

`POST /_control` with a JSON object sets the fields of `Behaviour`; `GET /_executions` returns the
counts.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from collections import Counter
from typing import Any
from urllib.parse import parse_qs, urlsplit

import defopt
import httptools


class Behaviour:
    """Behaviour, injected faults and counts of the stand-in; times in milliseconds."""

    def __init__(self) -> None:
        self.service_ms = 2.0
        self.spread = 0.0
        self.fail_share = 0.0
        self.state = "warm"
        self.health_state = "warm"
        self.shed = False
        self.cut_share = 0.0
        self.leave_header = False
        self.limit = ""
        self.executions: Counter[str] = Counter()
        self.cancelled = 0
        self.health_probes = 0
        self.running = 0
        self.most_running = 0
        self.rng = random.Random(1)
        self.journal = -1

    def change(self, fields: dict[str, Any]) -> None:
        """Set fields by name."""
        for name, value in fields.items():
            setattr(self, name, value)

    def ran(self, request_id: str) -> None:
        """Count one execution; a journal file keeps its request id after the process ends."""
        self.executions[request_id] += 1
        if self.journal >= 0:
            os.write(self.journal, f"{request_id}\n".encode())

    def service_s(self) -> float:
        """Return the service time of the next call, seconds."""
        if not self.spread:
            return self.service_ms / 1000
        return self.service_ms / 1000 * (1 - self.spread + self.spread * self.rng.expovariate(1.0))


class _Connection(asyncio.Protocol):
    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.task: asyncio.Task[None] | None = None
        self.on_message_begin()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.task is not None and not self.task.done():
            self.behaviour.cancelled += 1
            self.task.cancel()

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.url = b""
        self.headers: dict[str, str] = {}
        self.body = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        path = self.url.decode("latin-1")
        if path.startswith("/_control"):
            self.behaviour.change(json.loads(self.body))
            self.write(200, b"{}")
        elif path.startswith("/_executions"):
            self.write(200, self.counts())
        elif path.startswith("/health"):
            self.behaviour.health_probes += 1
            self.write(200, json.dumps({"state": self.behaviour.health_state}).encode())
        else:
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(self.run(method, path, dict(self.headers), self.body))

    def counts(self) -> bytes:
        behaviour = self.behaviour
        return json.dumps(
            {
                "executions": behaviour.executions,
                "cancelled": behaviour.cancelled,
                "health_probes": behaviour.health_probes,
                "most_running": behaviour.most_running,
            }
        ).encode()

    async def run(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        behaviour = self.behaviour
        if behaviour.shed:
            self.write(503, b"shed", {"Not-Run": "shed", "Retry-After": "1"})
            return
        behaviour.ran(headers.get("x-request-id", ""))
        behaviour.running += 1
        behaviour.most_running = max(behaviour.most_running, behaviour.running)
        try:
            query = parse_qs(urlsplit(path).query)
            sleep_ms = query.get("sleep_ms")
            wait = float(sleep_ms[0]) / 1000 if sleep_ms else behaviour.service_s()
            if wait > 0:
                await asyncio.sleep(wait)
            status = 500 if behaviour.rng.random() < behaviour.fail_share else 200
            size = query.get("size")
            answer = body or headers.get("x-request-id", "").encode()
            if size:
                answer = answer + b"." * int(size[0])
            more = {"Upstream-State": "leaving"} if behaviour.leave_header else {}
            if behaviour.limit:
                more["Upstream-Limit"] = behaviour.limit
            cut = behaviour.rng.random() < behaviour.cut_share
            self.write(status, b"" if method == "HEAD" else answer, more, cut)
        finally:
            behaviour.running -= 1

    def write(
        self, status: int, body: bytes, more: dict[str, str] | None = None, cut: bool = False
    ) -> None:
        if self.transport is None:
            return
        lines = [f"HTTP/1.1 {status} OK", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (more or {}).items()]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        if cut:
            self.transport.write(head + body[: len(body) // 2])
            self.transport.close()
            return
        self.transport.write(head + body)


async def serve(behaviour: Behaviour, address: str) -> None:
    """Serve until cancelled; prints the bound address as one JSON line."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Connection(behaviour), host, int(port), backlog=512)
    found = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    sys.stdout.write(json.dumps({"address": found}) + "\n")
    sys.stdout.flush()
    await server.serve_forever()


def main(
    *,
    listen: str = "127.0.0.1:0",
    service_ms: float = 2.0,
    spread: float = 0.0,
    journal: str = "",
) -> None:
    """Run an upstream stand-in.

    :param listen: Address to listen on.
    :param service_ms: Mean service time of a call, milliseconds.
    :param spread: Share of that time that is random (exponential), 0 to 1.
    :param journal: File to which each request id is appended when it starts; empty for none.
    """
    behaviour = Behaviour()
    if journal:
        behaviour.journal = os.open(journal, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    behaviour.service_ms = service_ms
    behaviour.spread = spread
    asyncio.run(serve(behaviour, listen))


if __name__ == "__main__":
    defopt.run(main)
