"""Tests with real processes, sockets, signals and disks."""

import concurrent.futures
import pathlib
import shutil
import signal
import time
import typing

import pytest

from sedgepin.tests import fake_engine
from sedgepin.tests import processes
from sedgepin.tests import stalling_proxy

_RECOVERY_SECONDS = 3.0
_LEASE_TIMES_SIX_SECONDS = 2.0
_RECEIPTS = "/v1/services/ledger/call/receipts"


def _text(prompt: str, tokens: int) -> str:
    return "".join(
        fake_engine.token_text(prompt, position) for position in range(tokens)
    )


def _leader(system: processes.Processes) -> str | None:
    for name in system.control_ids:
        process = system.running[name]
        if process.poll() is not None:
            continue
        try:
            answer = system.send_request(
                name,
                "GET",
                "/v1/status",
                credential=processes.OPERATOR_CREDENTIAL,
                read_seconds=0.2,
            )
        except processes.CONNECTION_ERRORS:
            continue
        if answer.status == 200:
            return name
    return None


def _publish(system: processes.Processes, number: int) -> float:
    """Publish a small note; return the seconds until it was accepted."""
    note = processes.first_note()
    if number > 1:
        item = {"type": "service", "name": f"s{number}", "kind": "plain"}
        note["changes"] = [{"change": "added", "item": item}]
    note.update(number=number, note_id=f"n{number}")

    def is_accepted() -> bool:
        try:
            return bool(system.publish(note))
        except RuntimeError:
            return False

    return processes.wait_until(is_accepted, f"note {number} is accepted")


@pytest.fixture
def system(
    tmp_path: pathlib.Path,
) -> typing.Iterator[processes.Processes]:
    """Yield a running system with the first note in force."""
    with processes.Processes(tmp_path, entries=2) as running:
        processes.wait_until(lambda: _leader(running) is not None, "a leader")
        _publish(running, 1)
        running.wait_ready()
        running.wait_serving()
        yield running


class TestControl:
    """The log goes on, whichever VM is killed, frozen or loses its disk."""

    def test_leader_killed_then_frozen_then_disk_lost(
        self, system: processes.Processes
    ) -> None:
        first = _leader(system)
        assert first is not None
        system.kill(first)
        assert _publish(system, 2) < _RECOVERY_SECONDS

        system.start(first)
        second = _leader(system)
        assert second is not None
        system.signal(second, signal.SIGSTOP)
        time.sleep(_LEASE_TIMES_SIX_SECONDS)
        assert _publish(system, 3) < _RECOVERY_SECONDS
        system.signal(second, signal.SIGCONT)

        third = _leader(system)
        assert third is not None
        lost = next(
            name for name in system.control_ids if name not in (third, second)
        )
        disks = self._disks(system)
        system.kill(lost)
        shutil.rmtree(system.folder / f"{lost}.data")
        system.start(lost)
        processes.wait_until(
            lambda: self._disks(system).get(lost, disks[lost]) != disks[lost],
            "the new disk counts",
        )
        system.kill(third)
        assert _publish(system, 4) < _RECOVERY_SECONDS
        for name in system.entry_ids:
            processes.wait_until(
                lambda name=name: (  # type: ignore[misc]
                    system.send_request(name, "GET", "/v1/status").json()[
                        "note_number"
                    ]
                    == 4
                ),
                "the note is in force",
            )

    def _disks(self, system: processes.Processes) -> dict[str, str]:
        """Return the disk of each control VM, if all of them vote."""
        leader = _leader(system)
        if leader is None:
            return {}
        members = system.send_request(
            leader,
            "GET",
            "/v1/status",
            credential=processes.OPERATOR_CREDENTIAL,
        ).json()["members"]
        disks = {one["vm"]: one["disk"] for one in members if one["votes"]}
        if len(members) != len(system.control_ids):
            return {}
        return disks if len(disks) == len(members) else {}


class TestEntry:
    """No request is cut off, lost or doubled."""

    def test_drain_under_load(self, system: processes.Processes) -> None:
        prompts = [f"lorry {number}" for number in range(8)]
        with concurrent.futures.ThreadPoolExecutor(20) as pool:
            answers = [
                pool.submit(system.complete, "entry-1", prompt, 100)
                for prompt in prompts
            ]
            calls = [
                pool.submit(
                    system.send_request,
                    "entry-1",
                    "POST",
                    _RECEIPTS,
                    {},
                    idempotency_key=f"{int(time.time())}-{number}",
                )
                for number in range(8)
            ]
            time.sleep(0.2)
            system.signal("entry-1", signal.SIGTERM)
            processes.wait_until(
                lambda: (
                    system.send_request("entry-1", "GET", "/readyz").status
                    == 503
                ),
                "the balancer is told",
            )
            during_notice = system.complete("entry-1", "late", 5)
            for prompt, answer in zip(prompts, answers):
                told = answer.result().json()
                assert told["choices"][0]["text"] == _text(prompt, 100)
            assert all(call.result().status == 201 for call in calls)
        assert during_notice.status == 200
        assert system.running["entry-1"].wait(10) == 0
        counts = system.send_request("ledger", "GET", "/counts").json()
        assert set(counts.values()) == {1}

    def test_connection_silent_for_good(self, tmp_path: pathlib.Path) -> None:
        running = processes.Processes(tmp_path, entries=1, replicas=1)
        link = stalling_proxy.StallingProxy(running.ports["engine-0-0"])
        running.announced_ports["engine-0-0"] = link.port
        with running:
            processes.wait_until(
                lambda: _leader(running) is not None, "a leader"
            )
            _publish(running, 1)
            running.wait_ready()
            running.wait_serving()
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                before = link.opened
                asked = pool.submit(running.complete, "entry-1", "tare", 100)
                processes.wait_until(lambda: link.opened > before, "it runs")
                time.sleep(0.3)
                link.stall_open_connections()
                started = time.monotonic()
                answer = asked.result()
                took = time.monotonic() - started
            link.close()
        assert answer.json()["choices"][0]["text"] == _text("tare", 100)
        assert took < 6.0

    def test_killed_entry_leaves_no_double(
        self, system: processes.Processes
    ) -> None:
        key = f"{int(time.time())}-x"
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            asked = pool.submit(
                system.send_request,
                "entry-1",
                "POST",
                _RECEIPTS,
                {},
                idempotency_key=key,
            )
            time.sleep(0.01)
            system.kill("entry-1")
            assert asked.exception() is None or asked.exception()
        resent = system.send_request(
            "entry-2", "POST", _RECEIPTS, {}, idempotency_key=key
        )
        counts = system.send_request("ledger", "GET", "/counts").json()
        assert counts.get(key, 0) <= 1
        if resent.status == 201:
            assert counts[key] == 1


class TestCommands:
    """Operators' commands do what their help says."""

    def test_status_audit_endpoints_and_faults(
        self, system: processes.Processes
    ) -> None:
        status = system.run_command("status", "--output", "json")
        assert status.returncode == 0
        assert b'"note_number": 1' in status.stdout
        audit = system.run_command("audit")
        assert b"note_accepted" in audit.stdout
        endpoints = system.run_command("endpoints")
        assert b"engine-12-1" in endpoints.stdout
        note = system.run_command("note", "status", "1")
        assert b"in_force_on" in note.stdout
        shown = system.run_command("note", "show", "1")
        assert b'"name": "beet-32"' in shown.stdout
        faulty = system.folder / "faulty.json"
        faulty.write_text('{"number": 0, "note_id": "a", "zip": 1}')
        refused = system.run_command("note", "publish", str(faulty))
        assert refused.returncode == 4
        assert len(refused.stderr.splitlines()) == 5

    def test_credentials_are_kept_apart(
        self, system: processes.Processes
    ) -> None:
        for credential in ("", "wrong", processes.OPERATOR_CREDENTIAL):
            refused = system.send_request(
                "entry-1",
                "POST",
                "/v1/completions",
                {"prompt": "a", "model": "assistant"},
                credential=credential,
            )
            assert refused.status == 401
            assert refused.json()["outcome"] == "not_run"
        for name in system.control_ids:
            refused = system.send_request(name, "GET", "/v1/status")
            assert refused.status == 401
