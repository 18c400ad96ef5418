"""The endpoints a gateway may use, and how loaded it believes them."""

import collections
import collections.abc
import dataclasses
import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _pipeline_search
from sedgepin._gateway import _suspicions
from sedgepin._gateway import _unreported_load
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin import _protocol as protocol

# A pipeline is good for this long and for so many requests: within them load
# shifts by a few hundredths of the engines' caches.
_PATH_LIFE = datetime.timedelta(milliseconds=100)
_PATH_USES = 3
# From this fullness on every request is placed by the load as it is then.
_EXACT_FROM = 0.7
# An endpoint's word on its load is believed for this long.
_LOAD_LIFE = datetime.timedelta(milliseconds=1000)
# An engine that refused is taken to be full for this long: some of its
# requests end within it, and another refusal costs little.
_REFUSAL_LIFE = datetime.timedelta(milliseconds=250)
# What one waiting request counts against one in another data centre.
_CROSSING_REQUESTS = 2.0

_Loads = dict[model.EndpointId, protocol.EndpointLoad]


@dataclasses.dataclass(slots=True, frozen=True)
class _ToldLoad:
    running: int
    waiting: int
    slots: int | None
    at: datetime.datetime

    @property
    def is_full(self) -> bool:
        """Tell whether the endpoint has no slot free."""
        if self.slots is None:
            return False
        return self.running + self.waiting >= self.slots


@dataclasses.dataclass(slots=True)
class _KnownPath:
    found: placement.PipelineCandidate
    at: datetime.datetime
    version: int
    uses: int = 1


class Fleet:
    """Chooses endpoints and pipelines for new work.

    Work that this VM gave is known exactly; that of the other VMs as of
    their last report, a few hundred milliseconds ago.
    """

    __slots__ = (
        "_data_centre",
        "_paths",
        "_refused",
        "_reported",
        "_running",
        "_silence",
        "_summed",
        "_suspicions",
        "_told",
        "_tokens",
        "_version",
        "registry",
        "unseen",
    )

    def __init__(
        self,
        data_centre: model.DataCentreId,
        silence: datetime.timedelta,
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._silence = silence
        self.registry = catalog.Registry()
        self._suspicions = _suspicions.Suspicions()
        self._running: collections.Counter[model.EndpointId] = (
            collections.Counter()
        )
        self._tokens: collections.Counter[model.EndpointId] = (
            collections.Counter()
        )
        self._told: dict[model.EndpointId, _ToldLoad] = {}
        self._refused: dict[model.EndpointId, datetime.datetime] = {}
        self._paths: dict[model.ServiceName, _KnownPath] = {}
        self._reported: _Loads = {}
        self._summed: _Loads = {}
        self._version = 0
        self.unseen = _unreported_load.UnseenLoad(rng)

    def own_loads(self) -> tuple[protocol.EndpointLoad, ...]:
        """Return the load that this VM puts on endpoints, to be reported."""
        loads = tuple(
            protocol.EndpointLoad(one, count, self._tokens[one])
            for one, count in self._running.items()
        )
        self._reported = {one.endpoint_id: one for one in loads}
        return loads

    def take_sum(
        self,
        loads: collections.abc.Iterable[protocol.EndpointLoad],
        now: datetime.datetime,
    ) -> None:
        """Take in the load that all entry VMs put on endpoints.

        What this VM last reported is in the sum; it is taken out, since its
        own load is known better.
        """
        self.unseen.record_sum(now)
        self._summed = {}
        for one in loads:
            own = self._reported.get(one.endpoint_id)
            running = one.running - (own.running if own else 0)
            tokens = one.tokens - (own.tokens if own else 0)
            self._summed[one.endpoint_id] = protocol.EndpointLoad(
                one.endpoint_id, max(0, running), max(0, tokens)
            )

    def note_change(self) -> None:
        """Forget pipelines that rest on what has changed."""
        self._version += 1

    def suspect(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Give an endpoint no new work for a while; return if it is news."""
        known = self.registry.find(endpoint_id)
        if known is None:
            return False
        incarnation = known.registration.incarnation
        if self._suspicions.covers(endpoint_id, incarnation, now):
            return False
        self._suspicions.add(endpoint_id, incarnation, now)
        self._version += 1
        return True

    def clear(self, endpoint_id: model.EndpointId) -> None:
        """Note that an endpoint did its work."""
        self._suspicions.clear(endpoint_id)

    def tell_load(
        self,
        endpoint_id: model.EndpointId,
        marks: _calls.AnswerMetadata,
        now: datetime.datetime,
    ) -> None:
        """Take in what an endpoint said of its load."""
        if marks.running is not None and marks.waiting is not None:
            self._told[endpoint_id] = _ToldLoad(
                marks.running, marks.waiting, marks.slots, now
            )

    def note_refusal(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        """Take an engine that has no room for one request as full."""
        self._refused[endpoint_id] = now
        self._version += 1

    def take(
        self,
        endpoint_ids: collections.abc.Iterable[model.EndpointId],
        tokens: int,
    ) -> None:
        """Count a request on its endpoints."""
        for endpoint_id in endpoint_ids:
            self._running[endpoint_id] += 1
            self._tokens[endpoint_id] += tokens

    def give_back(
        self,
        endpoint_ids: collections.abc.Iterable[model.EndpointId],
        tokens: int,
    ) -> None:
        """Count a request on its endpoints no more."""
        for endpoint_id in endpoint_ids:
            self._running[endpoint_id] -= 1
            self._tokens[endpoint_id] -= tokens
            if self._running[endpoint_id] <= 0:
                del self._running[endpoint_id]
                del self._tokens[endpoint_id]

    def choose(
        self,
        service: model.ServiceName,
        avoided: collections.abc.Container[model.EndpointId],
        now: datetime.datetime,
    ) -> catalog.Registration | None:
        """Return the least loaded endpoint of a plain service."""
        usable = [
            known.registration
            for known in self._usable(service, now)
            if known.registration.endpoint_id not in avoided
        ]
        if not usable:
            # An endpoint that failed a moment ago is better than none.
            usable = [
                known.registration
                for known in self.registry
                if known.registration.service == service
                and known.registration.state is catalog.EndpointState.READY
                and known.is_live(self._silence, now)
                and known.registration.endpoint_id not in avoided
            ]
        if not usable:
            return None
        return min(usable, key=lambda word: self._load(word, now))

    def find_pipeline(
        self,
        service: catalog.Service,
        size: placement.RequestSize,
        now: datetime.datetime,
    ) -> placement.PipelineCandidate | None:
        """Return the pipeline for a new request, or none if there is none."""
        known = self._paths.get(service.name)
        if (
            known is not None
            and known.version == self._version
            and now - known.at < _PATH_LIFE
            and known.uses < _PATH_USES
        ):
            known.uses += 1
            return known.found
        if service.engine is None:
            return None
        engines = self._engines(service, service.engine, now)
        search = _pipeline_search.PipelineSearch(
            self._data_centre, service.engine, size
        )
        before = self.unseen.draw(now)
        found = search.best_beside(engines, self.unseen, before)
        self._paths.pop(service.name, None)
        if found is not None and found.cache_utilization < _EXACT_FROM:
            self._paths[service.name] = _KnownPath(found, now, self._version)
        return found

    def find_detour(
        self,
        service: catalog.Service,
        size: placement.RequestSize,
        pipeline: model.Pipeline,
        now: datetime.datetime,
    ) -> model.Pipeline | None:
        """Return a pipeline with the same first stage, for a running one."""
        if service.engine is None:
            return None
        first = pipeline.stages[0]
        kept = frozenset(one.endpoint_id for one in pipeline.stages)
        engines = self._engines(service, service.engine, now)
        search = _pipeline_search.PipelineSearch(
            self._data_centre, service.engine, size
        )
        found = search.best(engines, first, kept)
        return None if found is None else found.pipeline

    def is_suspected(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Tell whether an endpoint failed lately or is lost."""
        known = self.registry.find(endpoint_id)
        if known is None:
            return True
        return known.lost_at is not None or self._suspicions.covers(
            endpoint_id, known.registration.incarnation, now
        )

    def fullness(
        self, service: catalog.Service, endpoint_id: model.EndpointId
    ) -> float:
        """Return which share of its cache an engine has given away."""
        known = self.registry.find(endpoint_id)
        profile = service.engine
        if known is None or profile is None:
            return 0.0
        word = known.registration
        accelerator = profile.accelerator(word.accelerator)
        if accelerator is None or word.layers is None:
            return 0.0
        room = placement.cache_capacity_tokens(
            profile, accelerator, word.layers.count
        )
        tokens = self._tokens[endpoint_id]
        other = self._summed.get(endpoint_id)
        if other is not None:
            tokens += other.tokens
        return tokens / max(1.0, room)

    def is_usable(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Tell whether an endpoint may get new work."""
        known = self.registry.find(endpoint_id)
        return known is not None and self._is_usable(known, now)

    def _engines(
        self,
        service: catalog.Service,
        profile: catalog.EngineProfile,
        now: datetime.datetime,
    ) -> list[placement.CandidateEngine]:
        found: list[placement.CandidateEngine] = []
        for known in self._usable(service.name, now):
            word = known.registration
            accelerator = profile.accelerator(word.accelerator)
            if word.layers is None or accelerator is None:
                continue
            idle = protocol.EndpointLoad(word.endpoint_id, 0, 0)
            other = self._summed.get(word.endpoint_id, idle)
            found.append(
                placement.CandidateEngine(
                    word.endpoint_id,
                    word.address,
                    word.data_centre,
                    word.layers,
                    accelerator,
                    self._running[word.endpoint_id] + other.running,
                    self._tokens[word.endpoint_id] + other.tokens,
                    known.slowdown,
                    has_refused=self._has_refused(word.endpoint_id, now),
                )
            )
        return found

    def _has_refused(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        refused_at = self._refused.get(endpoint_id)
        if refused_at is not None and now - refused_at < _REFUSAL_LIFE:
            return True
        told = self._told.get(endpoint_id)
        return (
            told is not None and told.is_full and now - told.at < _REFUSAL_LIFE
        )

    def _usable(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> list[catalog.EndpointRecord]:
        return [
            known
            for known in self.registry
            if known.registration.service == service
            and self._is_usable(known, now)
        ]

    def _is_usable(
        self, known: catalog.EndpointRecord, now: datetime.datetime
    ) -> bool:
        word = known.registration
        return (
            word.state is catalog.EndpointState.READY
            and known.is_live(self._silence, now)
            and not self._suspicions.covers(
                word.endpoint_id, word.incarnation, now
            )
        )

    def _load(
        self, word: catalog.Registration, now: datetime.datetime
    ) -> tuple[float, str]:
        load = float(self._running[word.endpoint_id])
        told = self._told.get(word.endpoint_id)
        if told is not None and now - told.at < _LOAD_LIFE:
            load = max(load, told.running + told.waiting)
        if word.data_centre != self._data_centre:
            load += _CROSSING_REQUESTS
        return (load, word.endpoint_id)
