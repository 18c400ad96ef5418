"""Demonstration of the whole system on one machine (``scripts/demo``).

Each check prints one row of a table; the exit code is 0 if all passed.
"""

import dataclasses
import pathlib
import sys
import tempfile
import threading
import time

from sedgepin.tests import fake_engine
from sedgepin.tests import processes

_PROMPT = "Draft a tare dispute for lorry 17."
_TOKEN_COUNT = 60
_TOKENS_BEFORE_KILL = 15
# The key starts with its date in Unix seconds; keys that are too old are
# refused.
_IDEMPOTENCY_KEY = f"{int(time.time())}-receipt-17"


@dataclasses.dataclass(slots=True, frozen=True)
class Row:
    """A row of the result table."""

    label: str
    observation: str
    passed: bool


def main() -> int:
    """Run all checks; return 0 if all of them passed, otherwise 1."""
    with tempfile.TemporaryDirectory() as directory:
        system = processes.Processes(pathlib.Path(directory))
        with system:
            rows = [
                _check_publication(system),
                _check_stream(system),
                _check_idempotency(system),
                _check_stage_failure(system),
                _check_settings(system),
            ]
    width = max(len(row.label) for row in rows)
    print()
    for row in rows:
        verdict = "ok" if row.passed else "FAILED"
        print(f"{row.label:<{width}}  {verdict:<6}  {row.observation}")
    return 0 if all(row.passed for row in rows) else 1


def _check_publication(system: processes.Processes) -> Row:
    print("starting 3 control VMs, 4 entry VMs, 6 engines, 1 service ...")
    processes.wait_until(
        lambda: (
            system.send_request(system.control_ids[0], "GET", "/readyz").status
            == 200
        ),
        "a leader is elected",
    )
    processes.wait_until(lambda: _try_publish(system), "the note is accepted")
    start = time.monotonic()
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
    duration = time.monotonic() - start
    system.wait_serving()
    print(system.run_command("status").stdout.decode())
    observation = f"in force on 4 of 4 entry VMs, seen {duration:.1f} s later"
    return Row("a release note is published", observation, duration < 5)


def _try_publish(system: processes.Processes) -> bool:
    try:
        system.publish(processes.first_note())
    except RuntimeError:
        return False
    return True


def _expected_text() -> str:
    return "".join(
        fake_engine.token_text(_PROMPT, position)
        for position in range(_TOKEN_COUNT)
    )


def _answer_text(answer: processes.Answer) -> str:
    if answer.status != 200:
        return answer.body.decode()
    return str(answer.json()["choices"][0]["text"])


def _check_stream(system: processes.Processes) -> Row:
    answer = system.complete("entry-2", _PROMPT, _TOKEN_COUNT)
    is_complete = _answer_text(answer) == _expected_text()
    observation = (
        f"{_TOKEN_COUNT} tokens through {len(processes.STAGES)} stages"
    )
    return Row("an answer crosses three engines", observation, is_complete)


def _check_idempotency(system: processes.Processes) -> Row:
    path = "/v1/services/ledger/call/receipts"
    body = {"lorry": 17, "tons": 24.5}
    answers = [
        system.send_request(
            entry, "POST", path, body, idempotency_key=_IDEMPOTENCY_KEY
        )
        for entry in ("entry-1", "entry-3")
    ]
    executions = (
        system.send_request("ledger", "GET", "/counts")
        .json()
        .get(_IDEMPOTENCY_KEY)
    )
    is_same_body = answers[0].body == answers[1].body
    observation = f"sent through 2 entry VMs, executed {executions} time"
    return Row(
        "a receipt is sent twice",
        observation,
        is_same_body and executions == 1,
    )


def _check_stage_failure(system: processes.Processes) -> Row:
    answers: list[processes.Answer] = []
    request_thread = threading.Thread(
        target=lambda: answers.append(
            system.complete("entry-4", _PROMPT, _TOKEN_COUNT)
        )
    )
    request_thread.start()
    killed_engine = _wait_for_producing_engine(system)
    system.kill(killed_engine)
    killed_at = time.monotonic()
    request_thread.join()
    duration = time.monotonic() - killed_at
    is_complete = _answer_text(answers[0]) == _expected_text()
    observation = (
        f"{killed_engine} killed, answer whole {duration:.2f} s later"
    )
    return Row(
        "a stage dies in the middle of an answer", observation, is_complete
    )


def _wait_for_producing_engine(system: processes.Processes) -> str:
    """Wait until an engine of the middle stage has produced some tokens.

    Return its name.
    """
    first = processes.STAGES[1][0]
    middle_stage_engines = [
        name
        for name in system.engine_ids
        if name.startswith(f"engine-{first}-")
    ]
    producing: list[str] = []

    def is_producing() -> bool:
        for name in middle_stage_engines:
            token_counts = system.send_request(
                name, "GET", "/v1/produced"
            ).json()
            if any(
                token_count >= _TOKENS_BEFORE_KILL
                for token_count in token_counts.values()
            ):
                producing.append(name)
        return bool(producing)

    processes.wait_until(
        is_producing,
        f"the middle stage has produced {_TOKENS_BEFORE_KILL} tokens",
    )
    return producing[0]


def _check_settings(system: processes.Processes) -> Row:
    path = system.folder / "faulty.json"
    path.write_text(
        '{"id": "entry 9", "data_centre": "beja", "peer_listen": "here",'
        ' "caller_listen": "127.0.0.1:80", "controls": [], "customers": [{'
        '"id": "c", "credential_sha256": "' + "0" * 64 + '"}]}'
    )
    result = system.run_command("check-settings", str(path))
    errors = result.stderr.decode().strip().splitlines()
    observation = f"exit code {result.returncode}, {len(errors)} faults named"
    passed = result.returncode == 4 and len(errors) == 3
    return Row("settings with three faults are checked", observation, passed)


if __name__ == "__main__":
    sys.exit(main())
