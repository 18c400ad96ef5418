"""Tests of the soak: its checks, its proxy, and one short day.

Seeds that once failed are played again in ``TestShortDay``, each with a line
on the cause.
"""

import collections.abc
import pathlib

import pytest
import trio

from sedgepin.platform.tests import soak
from sedgepin.platform.tests.soak import _proxy
from sedgepin.platform.tests.soak import _record

# Faults begin for this long in a short day.
_FAULT_SECONDS = 4.0


def _sent(kind: str, request_id: str = "r1", at: float = 1.0) -> _record.Sent:
    target = f"/{kind}/1/2" if kind == "stream" else f"/{kind}/1"
    return _record.Sent(request_id, kind, target, b"body", "k1", at, 3000)


def _run(kind: str, endpoint_id: str = "e1", at: float = 1.1) -> _record.Run:
    return _record.Run(
        request_id="r1",
        endpoint_id=endpoint_id,
        method="POST",
        target=_sent(kind).target,
        body=b"body",
        customer="customer-k1",
        at=at,
        time_left_ms=2900,
        resume_after=0,
        status=200,
        answer=b"done",
        seal=f"{endpoint_id}.1",
    )


def _answer(body: bytes = b"done", status: int = 200) -> _record.Answer:
    return _record.Answer("r1", status, "e1.1", body, True, 1.2, True)


def _good(kind: str) -> _record.Record:
    """Return a record of one request that was served as promised."""
    record = _record.Record(calm=[(0.0, 10.0)])
    record.sent["r1"] = _sent(kind)
    record.runs.append(_run(kind))
    body = b"done"
    if kind == "stream":
        body = b"id: 1\ndata: r1-1\n\nid: 2\ndata: r1-2\n\n"
    record.answers["r1"] = _answer(body)
    content = b'{"version": 3}'
    record.acknowledged.append(_record.Acknowledged(3, content, 0.0, 0.1))
    record.read_back.append(_record.ReadBack(3, content, 5.0))
    return record


def _run_again(record: _record.Record) -> None:
    record.runs.append(_run("write", "e2"))


def _refuse_what_ran(record: _record.Record) -> None:
    record.answers["r1"] = _answer(b"", 503)


def _mix_up(record: _record.Record) -> None:
    record.answers["r1"] = _answer(b"another's")


def _drop_the_seal(record: _record.Record) -> None:
    record.answers["r1"] = _record.Answer("r1", 200, "", b"done", True, 1.2)


def _skip_an_event(record: _record.Record) -> None:
    record.answers["r1"] = _answer(b"id: 2\ndata: r1-2\n\n")


def _double_an_event(record: _record.Record) -> None:
    event = b"id: 1\ndata: r1-1\n\n"
    record.answers["r1"] = _answer(event + event)


def _change_the_body(record: _record.Record) -> None:
    record.runs[0].body = b"changed"


def _run_for_another(record: _record.Record) -> None:
    record.runs[0].customer = "customer-k2"


def _skip_layers(record: _record.Record) -> None:
    record.runs[0].pipeline_fault = "a path that skips layers"


def _give_more_time(record: _record.Record) -> None:
    record.runs[0].time_left_ms = 9000


def _use_what_left(record: _record.Record) -> None:
    record.leaving["e1"] = -2.0


def _read_an_older_one(record: _record.Record) -> None:
    record.read_back.append(_record.ReadBack(2, b"", 6.0))


def _read_other_content(record: _record.Record) -> None:
    record.read_back.append(_record.ReadBack(3, b"other", 6.0))


def _lose_the_last(record: _record.Record) -> None:
    record.read_back.clear()


def _accept_an_invalid_one(record: _record.Record) -> None:
    record.accepted_invalid.append("5")


def _refuse_a_valid_one(record: _record.Record) -> None:
    record.refused_configurations.append("6")


def _refuse_without_a_time(record: _record.Record) -> None:
    record.runs.clear()
    record.answers["r1"] = _record.Answer("r1", 503, "", b"", True, 1.2)


def _end_by_itself(record: _record.Record) -> None:
    record.own_exits.append("entry-1")


def _order_too_much(record: _record.Record) -> None:
    record.overfull.append("e1")


def _spend_the_budget(record: _record.Record) -> None:
    for number in range(50):
        request_id = f"x{number}"
        record.sent[request_id] = _sent("read", request_id)
        for endpoint in ("e1", "e2"):
            run = _run("read", endpoint)
            run.request_id = request_id
            record.runs.append(run)


def _ask_full_engines_again(record: _record.Record) -> None:
    for number in range(25):
        request_id = f"x{number}"
        record.sent[request_id] = _sent("read", request_id)
        record.turned_away += [(request_id, 1.2)] * 3


def _serve_too_few(record: _record.Record) -> None:
    for number in range(9):
        request_id = f"x{number}"
        record.sent[request_id] = _sent("read", request_id, 2.0)


_Planted = collections.abc.Callable[[_record.Record], None]


class TestPromises:
    """Each promise is seen to fail on a fault that is planted."""

    @pytest.mark.parametrize("kind", ["write", "read", "stream"])
    def test_what_was_promised_passes(self, kind: str) -> None:
        assert soak.find_violations(_good(kind)) == []

    @pytest.mark.parametrize(
        ("kind", "planted", "finding"),
        [
            ("write", _run_again, "ran 2 times"),
            ("write", _refuse_what_ran, "has run"),
            ("read", _mix_up, "another body"),
            ("read", _drop_the_seal, "without a seal"),
            ("stream", _skip_an_event, "complete with 1 events"),
            ("stream", _double_an_event, "complete with 2 events"),
            ("read", _change_the_body, "changed"),
            ("read", _run_for_another, "customer-k2"),
            ("stream", _skip_layers, "skips layers"),
            ("read", _give_more_time, "9000 ms"),
            ("read", _use_what_left, "late"),
            ("read", _read_an_older_one, "version 2 after 3"),
            ("read", _read_other_content, "other content"),
            ("read", _lose_the_last, "could not be read"),
            ("read", _accept_an_invalid_one, "was acknowledged"),
            ("read", _refuse_a_valid_one, "was refused"),
            ("read", _refuse_without_a_time, "without a time"),
            ("read", _end_by_itself, "ended by itself"),
            ("read", _order_too_much, "too much"),
            ("read", _spend_the_budget, "50 retries"),
            ("read", _ask_full_engines_again, "50 retries"),
            ("read", _serve_too_few, "1 of 10 requests"),
        ],
    )
    def test_planted_fault_is_found(
        self, kind: str, planted: _Planted, finding: str
    ) -> None:
        record = _good(kind)
        planted(record)
        assert any(finding in one for one in soak.find_violations(record))


class TestProxy:
    """Each harm does what its name says, and is over in time."""

    _KNOWN = "127.89.1.1:18080"
    _BEHIND = "127.89.2.1:18080"

    async def _echo(self, stream: trio.SocketStream) -> None:
        try:
            async for data in stream:
                await stream.send_all(data)
        except trio.BrokenResourceError:
            # The proxy reset the connection, as the test asked.
            return

    async def _start(self, nursery: trio.Nursery) -> _proxy.Proxy:
        async def serve(
            task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
        ) -> None:
            await trio.serve_tcp(
                self._echo,
                18080,
                host="127.89.2.1",
                task_status=task_status,  # type: ignore[arg-type]
            )

        await nursery.start(serve)
        proxy = _proxy.Proxy(self._KNOWN, self._BEHIND)
        await nursery.start(proxy.serve)
        return proxy

    async def _round_trip(self, seconds: float) -> bool:
        with trio.move_on_after(seconds):
            async with await trio.open_tcp_stream(
                "127.89.1.1", 18080
            ) as stream:
                await stream.send_all(b"x")
                return await stream.receive_some(1) == b"x"
        return False

    @pytest.mark.parametrize(
        "harm",
        [
            _proxy.Harm.CUT_TOWARDS,
            _proxy.Harm.CUT_FROM,
            _proxy.Harm.SILENCE,
        ],
    )
    async def test_held_bytes_come_after_the_harm(
        self, nursery: trio.Nursery, harm: _proxy.Harm
    ) -> None:
        proxy = await self._start(nursery)
        nursery.start_soon(proxy.harm, harm, 0.5)
        await trio.sleep(0.05)
        began = trio.current_time()
        assert await self._round_trip(5.0)
        assert trio.current_time() - began > 0.3

    async def test_refused_and_reset_connections_break(
        self, nursery: trio.Nursery
    ) -> None:
        proxy = await self._start(nursery)
        stream = await trio.open_tcp_stream("127.89.1.1", 18080)
        await stream.send_all(b"x")
        assert await stream.receive_some(1) == b"x"
        await proxy.harm(_proxy.Harm.RESET, 0)
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(1)
        nursery.start_soon(proxy.harm, _proxy.Harm.REFUSE, 0.5)
        await trio.sleep(0.05)
        with pytest.raises(trio.BrokenResourceError):
            await self._round_trip(5.0)


class TestShortDay:
    @pytest.mark.parametrize("seed", [1])
    async def test_no_promise_is_broken(
        self, tmp_path: pathlib.Path, seed: int
    ) -> None:
        record = await soak.run_seed(seed, tmp_path, _FAULT_SECONDS, lane=88)
        assert soak.find_violations(record) == [], record.faults
        assert len(record.answers) > 100
        assert len(record.faults) >= 3
