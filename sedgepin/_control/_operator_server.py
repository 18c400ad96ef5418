"""The HTTP interface of a control VM for operators."""

import collections.abc
import datetime
import itertools
import typing
import urllib.parse

import msgspec
import result
import trio

from sedgepin import _consensus as consensus
from sedgepin._control import _effects
from sedgepin._control import _events
from sedgepin._control import _reducer
from sedgepin import _http as http
from sedgepin import _memory as memory
from sedgepin import _release as release
from sedgepin import _state as state
from sedgepin import clock
from sedgepin import errors
from sedgepin import settings

_MAX_NOTE_BYTES = 1_048_576
_COMMIT_TIMEOUT_SECONDS = 5.0
_MAX_AUDIT_RECORDS = 1000
_CREATED_STATUS = 201

Submit: typing.TypeAlias = collections.abc.Callable[
    [_events.ControlEvent], None
]


class NoteStatus(msgspec.Struct, frozen=True):
    """Progress of a note: accepted, and in force on how many entry VMs."""

    number: int
    accepted: bool
    note_id: str | None
    author: str | None
    accepted_at: datetime.datetime | None
    in_force: bool
    in_force_on: int
    of: int
    lagging: tuple[str, ...]
    seconds_since_accepted: float | None


class NoteDetails(msgspec.Struct, frozen=True):
    """An accepted note, and the fleet if the note is the latest."""

    accepted: release.AcceptedNote
    fleet: release.Fleet | None


class VmStatus(msgspec.Struct, frozen=True):
    """State of an entry VM, as registered and by its last heartbeat."""

    id: str
    data_centre: str
    state: str
    note_number: int | None
    ready: bool | None
    draining: bool | None


class MemberStatus(msgspec.Struct, frozen=True):
    """A member of the Raft group: one disk of one control VM."""

    vm: str
    disk: str
    votes: bool


class SystemStatus(msgspec.Struct, frozen=True):
    """State of the Raft group and the entry VMs."""

    leader: str | None
    term: int
    holds_lease: bool
    members: tuple[MemberStatus, ...]
    commit_index: int
    note_number: int
    write_records: int
    vms: tuple[VmStatus, ...]


class OperatorServer(http.HttpServer):
    """Answers operators; passes their commands to the reducer."""

    __slots__ = (
        "_cfg",
        "_clock",
        "_exchange_ids",
        "_operator_ids",
        "_reducer",
        "_submit",
        "_answer_channels",
    )

    def __init__(
        self,
        cfg: settings.ControlSettings,
        reducer: _reducer.ControlReducer,
        submit: Submit,
        own_clock: clock.Clock,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        super().__init__(budget)
        self._cfg = cfg
        self._clock = own_clock
        self._reducer = reducer
        self._submit = submit
        self._exchange_ids = itertools.count(1)
        self._answer_channels: dict[
            int, trio.MemorySendChannel[state.Reply | errors.Failure]
        ] = {}
        self._operator_ids = {
            operator.credential_sha256: operator.id
            for operator in cfg.operators
        }

    def answer_operator(self, effect: _effects.AnswerOperator) -> None:
        """Answer the waiting request; ignored if it has timed out."""
        channel = self._answer_channels.pop(effect.exchange_id, None)
        if channel is not None:
            channel.send_nowait(effect.answer)

    async def answer(self, request: http.Request) -> None:
        """Answer a request.

        Only the health checks need no credential.
        """
        if request.path == "/healthz":
            await http.send_document(request, {"alive": True})
            return
        if request.path == "/readyz":
            has_leader = self._reducer.raft.leader_id is not None
            await http.send_document(
                request, {"ready": has_leader}, 200 if has_leader else 503
            )
            return
        operator = self._operator_ids.get(http.bearer_digest(request) or "")
        if operator is None:
            await http.send_problem(request, http.CredentialRefused())
            return
        failure = await self._answer_operator(request, operator)
        if failure is not None:
            await http.send_problem(request, failure)

    async def _answer_operator(
        self, request: http.Request, operator: str
    ) -> errors.Failure | None:
        """Answer an operator's request, or return the failure to report."""
        parts = request.path.strip("/").split("/")
        if parts == ["v1", "notes"] and request.method == "POST":
            return await self._publish(request, operator)
        if request.method != "GET" or parts[0] != "v1":
            return http.NotFound()
        if not self._reducer.raft.holds_lease(self._clock.now()):
            return consensus.NotLeader(self._reducer.raft.leader_id)
        if parts[1:2] == ["notes"] and len(parts) in (3, 4):
            return await self._answer_note(request, parts[2:])
        if parts == ["v1", "status"]:
            await http.send_document(request, self._system_status())
        elif parts == ["v1", "endpoints"]:
            now = self._clock.now()
            endpoints = self._reducer.membership_view.endpoints(now)
            await http.send_document(request, {"endpoints": endpoints})
        elif parts == ["v1", "audit"]:
            return await self._answer_audit(request)
        else:
            return http.NotFound()
        return None

    async def _publish(
        self, request: http.Request, operator: str
    ) -> errors.Failure | None:
        body = await http.read_body(request, _MAX_NOTE_BYTES, operator)
        if isinstance(body, result.Err):
            return body.err_value
        parsed = release.parse_note(body.ok_value)
        if isinstance(parsed, result.Err):
            return parsed.err_value
        command = state.PublishNote(
            at=self._clock.now(), actor=operator, note=parsed.ok_value
        )
        match await self._propose(command):
            case state.NoteAccepted(accepted):
                await http.send_document(request, accepted, _CREATED_STATUS)
                return None
            case state.NoteFaulty(failure) | state.NoteConflicted(failure):
                return failure
            case errors.Failure() as failure:
                return failure
        return consensus.LeaseLost()

    async def _propose(
        self, command: state.Command
    ) -> state.Reply | errors.Failure:
        """Propose a command and return its reply.

        A command without a reply after 5 s may still be committed, which
        ``LeaseLost`` reports.
        """
        exchange_id = next(self._exchange_ids)
        sender, receiver = trio.open_memory_channel[
            state.Reply | errors.Failure
        ](1)
        self._answer_channels[exchange_id] = sender
        self._submit(_events.OperatorProposed(exchange_id, command))
        with trio.move_on_after(_COMMIT_TIMEOUT_SECONDS):
            return await receiver.receive()
        self._answer_channels.pop(exchange_id, None)
        return consensus.LeaseLost()

    async def _answer_note(
        self, request: http.Request, parts: list[str]
    ) -> errors.Failure | None:
        latest = self._reducer.state.fleet.note_number
        if parts[0] != "latest" and not parts[0].isdigit():
            return http.RequestNotUnderstood(
                f"expected a note number or 'latest', got {parts[0]!r}"
            )
        number = latest if parts[0] == "latest" else int(parts[0])
        if parts[1:] == ["status"]:
            await http.send_document(request, self._note_status(number))
            return None
        accepted = self._reducer.state.accepted_note(number)
        if accepted is None or len(parts) > 1:
            return http.NotFound()
        fleet = self._reducer.state.fleet if number == latest else None
        await http.send_document(request, NoteDetails(accepted, fleet))
        return None

    def _note_status(self, number: int) -> NoteStatus:
        accepted = self._reducer.state.accepted_note(number)
        latest = self._reducer.state.fleet.note_number
        coverage = self._reducer.membership_view.liveness.note_coverage(number)
        seconds_since = None
        if accepted is not None:
            age = self._clock.now() - accepted.accepted_at
            seconds_since = age.total_seconds()
        is_accepted = 0 < number <= latest
        return NoteStatus(
            number=number,
            accepted=is_accepted,
            note_id=None if accepted is None else accepted.note_id,
            author=None if accepted is None else accepted.author,
            accepted_at=None if accepted is None else accepted.accepted_at,
            in_force=is_accepted and not coverage.lagging,
            in_force_on=coverage.in_force_count,
            of=coverage.live_count,
            lagging=coverage.lagging,
            seconds_since_accepted=seconds_since,
        )

    def _system_status(self) -> SystemStatus:
        raft = self._reducer.raft
        return SystemStatus(
            leader=raft.leader_id,
            term=raft.term,
            holds_lease=raft.holds_lease(self._clock.now()),
            members=tuple(
                MemberStatus(
                    member.vm_id,
                    f"{member.disk_id:016x}",
                    member in raft.members.voters,
                )
                for member in raft.members.members
            ),
            commit_index=raft.commit_index,
            note_number=self._reducer.state.fleet.note_number,
            write_records=self._reducer.state.write_count,
            vms=tuple(map(self._vm_status, self._reducer.state.vms())),
        )

    def _vm_status(self, vm: state.VmRecord) -> VmStatus:
        heartbeat = self._reducer.membership_view.liveness.find(vm.vm_id)
        return VmStatus(
            id=vm.vm_id,
            data_centre=vm.data_centre,
            state=vm.state.value,
            note_number=None if heartbeat is None else heartbeat.note_in_force,
            ready=None if heartbeat is None else heartbeat.is_ready,
            draining=None if heartbeat is None else heartbeat.is_draining,
        )

    async def _answer_audit(
        self, request: http.Request
    ) -> errors.Failure | None:
        query = urllib.parse.parse_qs(request.query)
        try:
            after = int(query.get("after", ["0"])[0])
            limit = int(query.get("limit", ["100"])[0])
        except ValueError:
            return http.RequestNotUnderstood(
                f"after and limit must be integers, got {request.query!r}"
            )
        records = self._reducer.state.audit(
            after, min(limit, _MAX_AUDIT_RECORDS)
        )
        await http.send_document(request, {"records": records})
        return None
