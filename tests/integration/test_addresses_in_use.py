"""A daemon waits for its addresses while its predecessor still holds one of them."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING

import pytest

from standins.ports import AddressPool
from tests.integration.held_process import ANY_ADDRESSES, WITH_ADAPTER, HeldProcess, settings

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

EXIT_UNREACHABLE = 4


@pytest.fixture
def addresses() -> Iterator[dict[str, str]]:
    pool = AddressPool()
    yield {option: pool.take() for option in ANY_ADDRESSES}
    pool.close()


def listen(address: str) -> socket.socket:
    """Listen as another process."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen()
    return sock


def accepts(address: str) -> bool:
    """Return whether something listens at an address."""
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        return sock.connect_ex((host, int(port))) == 0


@pytest.mark.parametrize("platform", [WITH_ADAPTER, ""])
@pytest.mark.parametrize("option", list(ANY_ADDRESSES))
def test_a_daemon_waits_until_an_address_is_free(
    tmp_path: Path, addresses: dict[str, str], option: str, platform: str
) -> None:
    """Guards against a successor that ends as its predecessor still holds an address."""
    path = tmp_path / "p.ini"
    path.write_text(settings(platform, addresses))
    held = listen(addresses[option])
    with HeldProcess(tmp_path, path) as process:
        process.wait_logged(f"[listen] {option} = {addresses[option]} is in use")
        others = [address for other, address in addresses.items() if other != option]
        assert not any(accepts(address) for address in others)
        held.close()
        assert process.addresses() == addresses
        assert all(accepts(address) for address in addresses.values())
        process.popen.send_signal(signal.SIGTERM)
        assert process.exit_code() == 0


def test_a_stop_signal_ends_the_wait_for_an_address(
    tmp_path: Path, addresses: dict[str, str]
) -> None:
    """Guards against a process that cannot be stopped while it waits."""
    path = tmp_path / "p.ini"
    path.write_text(settings(addresses=addresses))
    held = listen(addresses["frames"])
    with held, HeldProcess(tmp_path, path) as process:
        process.wait_logged("is in use, waiting")
        process.popen.send_signal(signal.SIGHUP)
        process.popen.send_signal(signal.SIGTERM)
        assert process.exit_code() == 0


def test_a_successor_starts_while_its_predecessor_shuts_down(
    tmp_path: Path, addresses: dict[str, str]
) -> None:
    """Guards against two daemons of a host that start and stop at once."""
    path, second = tmp_path / "p.ini", tmp_path / "successor.ini"
    for each in (path, second):
        each.write_text(settings(addresses=addresses))
    with HeldProcess(tmp_path, path) as predecessor:
        predecessor.addresses()
        predecessor.popen.send_signal(signal.SIGTERM)
        predecessor.wait_logged("draining")
        with HeldProcess(tmp_path, second) as successor:
            assert successor.addresses() == addresses
            assert predecessor.exit_code() == 0
            successor.popen.send_signal(signal.SIGTERM)
            assert successor.exit_code() == 0


@pytest.mark.parametrize("platform", [WITH_ADAPTER, ""])
@pytest.mark.parametrize("option", list(ANY_ADDRESSES))
def test_an_address_that_is_never_free_is_rejected_at_once(
    tmp_path: Path, addresses: dict[str, str], option: str, platform: str
) -> None:
    """Guards against a wait without end for an address of another host."""
    path = tmp_path / "p.ini"
    foreign = "192.0.2.1:8300"
    path.write_text(settings(platform, {**addresses, option: foreign}))
    with HeldProcess(tmp_path, path) as process:
        assert process.exit_code() == EXIT_UNREACHABLE
        assert f"[listen] {option} = {foreign}" in process.log()


def test_one_address_for_two_settings_is_rejected_at_once(
    tmp_path: Path, addresses: dict[str, str]
) -> None:
    """Guards against a daemon that waits for itself."""
    path = tmp_path / "p.ini"
    everywhere = addresses["frames"].replace("127.0.0.1", "0.0.0.0")
    path.write_text(settings(addresses={**addresses, "operators": everywhere}))
    with HeldProcess(tmp_path, path) as process:
        assert process.exit_code() == EXIT_UNREACHABLE
        assert f"[listen] operators = {everywhere}" in process.log()
