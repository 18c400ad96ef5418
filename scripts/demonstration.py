"""The demonstration that ``scripts/demo`` runs."""

import dataclasses
import pathlib
import sys
import tempfile
import threading
import time

from sedgepin.tests import fake_engine
from sedgepin.tests import processes

_PROMPT = "Draft a tare dispute for lorry 17."
_TOKENS = 60
_TOKENS_BEFORE_KILL = 15
_KEY = f"{int(time.time())}-receipt-17"


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """One line of the table at the end."""

    shown: str
    seen: str
    as_wanted: bool


def main() -> int:
    """Run it; return 0 if all was as wanted."""
    with tempfile.TemporaryDirectory() as folder:
        system = processes.Processes(pathlib.Path(folder))
        with system:
            rows = [
                _publish(system),
                _stream(system),
                _record_twice(system),
                _kill_stage(system),
                _check_settings(system),
            ]
    width = max(len(row.shown) for row in rows)
    print()
    for row in rows:
        verdict = "ok" if row.as_wanted else "FAILED"
        print(f"{row.shown:<{width}}  {verdict:<6}  {row.seen}")
    return 0 if all(row.as_wanted for row in rows) else 1


def _publish(system: processes.Processes) -> Row:
    print("starting 3 control VMs, 4 entry VMs, 6 engines, 1 service ...")
    processes.wait_until(
        lambda: (
            system.send_request(system.control_ids[0], "GET", "/readyz").status
            == 200
        ),
        "a leader is there",
    )
    processes.wait_until(lambda: _try_publish(system), "the note is accepted")
    started = time.monotonic()
    system.wait_ready()
    processes.wait_until(
        lambda: (
            '"in_force": true'
            in system.run_command(
                "note", "status", "1", "--output", "json"
            ).stdout.decode()
        ),
        "the note is in force",
    )
    took = time.monotonic() - started
    system.wait_serving()
    print(system.run_command("status").stdout.decode())
    seen = f"in force on 4 of 4 entry VMs, seen {took:.1f} s later"
    return Row("a release note is published", seen, took < 5)


def _try_publish(system: processes.Processes) -> bool:
    try:
        system.publish(processes.first_note())
    except RuntimeError:
        return False
    return True


def _wanted_text() -> str:
    return "".join(
        fake_engine.token_text(_PROMPT, position)
        for position in range(_TOKENS)
    )


def _text(answer: processes.Answer) -> str:
    if answer.status != 200:
        return answer.body.decode()
    return str(answer.json()["choices"][0]["text"])


def _stream(system: processes.Processes) -> Row:
    answer = system.complete("entry-2", _PROMPT, _TOKENS)
    whole = _text(answer) == _wanted_text()
    seen = f"{_TOKENS} tokens through {len(processes.STAGES)} stages"
    return Row("an answer crosses three engines", seen, whole)


def _record_twice(system: processes.Processes) -> Row:
    path = "/v1/services/ledger/call/receipts"
    body = {"lorry": 17, "tons": 24.5}
    answers = [
        system.send_request(entry, "POST", path, body, idempotency_key=_KEY)
        for entry in ("entry-1", "entry-3")
    ]
    executions = (
        system.send_request("ledger", "GET", "/counts").json().get(_KEY)
    )
    same = answers[0].body == answers[1].body
    seen = f"sent through 2 entry VMs, executed {executions} time"
    return Row("a receipt is sent twice", seen, same and executions == 1)


def _kill_stage(system: processes.Processes) -> Row:
    answers: list[processes.Answer] = []
    asking = threading.Thread(
        target=lambda: answers.append(
            system.complete("entry-4", _PROMPT, _TOKENS)
        )
    )
    asking.start()
    victim = _running_engine(system)
    system.kill(victim)
    killed_at = time.monotonic()
    asking.join()
    took = time.monotonic() - killed_at
    whole = _text(answers[0]) == _wanted_text()
    seen = f"{victim} killed, answer whole {took:.2f} s later"
    return Row("a stage dies in the middle of an answer", seen, whole)


def _running_engine(system: processes.Processes) -> str:
    """Return an engine of the middle stage that is producing."""
    first = processes.STAGES[1][0]
    middle = [
        name
        for name in system.engine_ids
        if name.startswith(f"engine-{first}-")
    ]
    found: list[str] = []

    def is_producing() -> bool:
        for name in middle:
            produced = system.send_request(name, "GET", "/v1/produced").json()
            if any(made >= _TOKENS_BEFORE_KILL for made in produced.values()):
                found.append(name)
        return bool(found)

    processes.wait_until(is_producing, "the middle stage produces")
    return found[0]


def _check_settings(system: processes.Processes) -> Row:
    path = system.folder / "faulty.json"
    path.write_text(
        '{"id": "entry 9", "data_centre": "beja", "peer_listen": "here",'
        ' "caller_listen": "127.0.0.1:80", "controls": [], "customers": [{'
        '"id": "c", "credential_sha256": "' + "0" * 64 + '"}]}'
    )
    done = system.run_command("check-settings", str(path))
    named = done.stderr.decode().strip().splitlines()
    seen = f"exit code {done.returncode}, {len(named)} faults named"
    right = done.returncode == 4 and len(named) == 3
    return Row("settings with three faults are checked", seen, right)


if __name__ == "__main__":
    sys.exit(main())
