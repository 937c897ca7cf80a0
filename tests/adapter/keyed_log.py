"""A fake platform store: a log of keyed records over HTTP, with injectable faults."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler


class Topic:
    """Records of one topic; the newest record of each key is always retained."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.changed = asyncio.Condition()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> int:
        """Append a record and return its offset; an empty value removes the key."""
        offset = self.end
        name = key.encode()
        self.append_frame(framed(bytes([len(name)]) + name + value))
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)
        return offset

    def append_frame(self, frame: bytes) -> None:
        """Append the bytes of a record, its length included, which need not be valid."""
        self.records.append(frame)


class LogEndpoint:
    """The address at which one host reaches the log; a fault affects only this host.

    Faults: a status such as "503", "reset" for a closed connection, "silent" for no answer.
    """

    def __init__(self, log: KeyedLog) -> None:
        self.log = log
        self.fault = ""
        self.calls: dict[str, int] = {}
        calls = [(r"/foldhoist/(log-[a-z]+)", _Call, {"endpoint": self})]
        self._server = HTTPServer(Application(calls, log_function=lambda _: None))
        sockets = bind_sockets(0, "127.0.0.1")
        self._server.add_sockets(sockets)
        self.address = "{}:{}".format(*sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()


class KeyedLog:
    """State of the fake store; each host has its own endpoint."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.page_items = 500
        self.calls: dict[str, int] = {}
        self.endpoints: dict[str, LogEndpoint] = {}
        self.address = self.endpoint("").address

    def endpoint(self, host: str) -> LogEndpoint:
        """Return the endpoint of a host, created at its first use."""
        if host not in self.endpoints:
            self.endpoints[host] = LogEndpoint(self)
        return self.endpoints[host]

    def topic(self, name: str) -> Topic:
        """Return a topic, created at its first use."""
        return self.topics.setdefault(name, Topic())

    async def put(self, name: str, key: str, value: bytes) -> None:
        """Append a record as another writer."""
        topic = self.topic(name)
        topic.append(key, value)
        async with topic.changed:
            topic.changed.notify_all()

    async def put_frame(self, name: str, frame: bytes) -> None:
        """Append the bytes of a record, its length included, as another writer."""
        topic = self.topic(name)
        topic.append_frame(frame)
        async with topic.changed:
            topic.changed.notify_all()

    def forget(self, name: str) -> None:
        """Drop the history of a topic; the newest record of each key stays."""
        topic = self.topic(name)
        topic.first = topic.end
        topic.records.clear()

    def close(self) -> None:
        """Stop listening."""
        for endpoint in self.endpoints.values():
            endpoint.close()


class _Call(RequestHandler):
    def initialize(self, endpoint: LogEndpoint) -> None:
        self.endpoint = endpoint
        self.log = endpoint.log

    async def prepare(self) -> None:
        name = self.path_args[0]
        for calls in (self.log.calls, self.endpoint.calls):
            calls[name] = calls.get(name, 0) + 1
        if self.log.delay_s:
            await asyncio.sleep(self.log.delay_s)
        match "503" if self.log.down else self.endpoint.fault:
            case "":
                return
            case "reset":
                self.request.connection.stream.close()  # type: ignore[union-attr]
                self._finished = True
            case "silent":
                await asyncio.Event().wait()
            case status:
                self.set_status(int(status))
                self.finish()

    async def get(self, name: str) -> None:
        topic = self.log.topic(self.get_query_argument("topic"))
        if name == "log-newest":
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(topic.newest.items())
                if key > self.get_query_argument("after", "")
            ]
            page = items[: self.log.page_items]
            self.finish({"items": page, "more": len(page) < len(items), "end": topic.end})
            return
        await self._read(topic)

    async def post(self, name: str) -> None:
        topic = self.log.topic(self.get_query_argument("topic"))
        record = self.request.body[4:]
        split = 1 + record[0]
        key, value = record[1:split].decode(), record[split:]
        offset = topic.append(key, value)
        async with topic.changed:
            topic.changed.notify_all()
        if self.log.lose_answers:
            self.log.lose_answers -= 1
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.finish({"offset": offset, "end": offset + 1})

    async def _read(self, topic: Topic) -> None:
        start = int(self.get_query_argument("start_rev"))
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        if start < topic.first:
            self.set_status(410)
            self.finish({"first": topic.first})
            return
        if start >= topic.end and wait_s:
            await _wait(topic, wait_s)
        answer = topic.end.to_bytes(8, "big") + topic.first.to_bytes(8, "big")
        answer += b"".join(topic.records[max(0, start - topic.first) :])
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(answer)


def framed(record: bytes) -> bytes:
    """Return a record preceded by its length."""
    return len(record).to_bytes(4, "big") + record


async def _wait(topic: Topic, wait_s: float) -> None:
    try:
        async with asyncio.timeout(wait_s), topic.changed:
            await topic.changed.wait()
    except TimeoutError:
        return


Body = dict[str, Any]
"""A JSON body."""
