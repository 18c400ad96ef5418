"""The endpoints a gateway may use, and how loaded it believes them."""

import collections
import collections.abc
import dataclasses
import datetime

import result

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _suspicions
from sedgepin import _model as model
from sedgepin import _placement as placement

# A pipeline is good for this long: within it load shifts by a few requests.
_PATH_LIFE = datetime.timedelta(milliseconds=100)
# An endpoint's word on its load is believed for this long.
_LOAD_LIFE = datetime.timedelta(milliseconds=1000)
# What one waiting request counts against one in another data centre.
_CROSSING_REQUESTS = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class _ToldLoad:
    running: int
    waiting: int
    at: datetime.datetime


@dataclasses.dataclass(slots=True, frozen=True)
class _KnownPath:
    pipeline: model.Pipeline
    at: datetime.datetime
    version: int


class Fleet:
    """Chooses endpoints and pipelines for new work.

    Work that this VM gave is known exactly; that of the other VMs is taken
    to be alike, since the balancer spreads callers over all of them.
    """

    __slots__ = (
        "_data_centre",
        "_paths",
        "_running",
        "_share",
        "_silence",
        "_suspicions",
        "_told",
        "_tokens",
        "_version",
        "registry",
    )

    def __init__(
        self, data_centre: model.DataCentreId, silence: datetime.timedelta
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
        self._paths: dict[model.ServiceName, _KnownPath] = {}
        self._share = 1.0
        self._version = 0

    def set_neighbours(self, count: float) -> None:
        """Note how many entry VMs use the same endpoints, this one too."""
        self._share = max(1.0, count)

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
        marks: _calls.AnswerMarks,
        now: datetime.datetime,
    ) -> None:
        """Take in what an endpoint said of its load."""
        if marks.running is not None and marks.waiting is not None:
            self._told[endpoint_id] = _ToldLoad(
                marks.running, marks.waiting, now
            )

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
            word
            for word in self._usable(service, now)
            if word.endpoint_id not in avoided
        ]
        if not usable:
            return None
        return min(usable, key=lambda word: self._load(word, now))

    def find_pipeline(
        self,
        service: catalog.Service,
        size: placement.Size,
        now: datetime.datetime,
    ) -> model.Pipeline | None:
        """Return the pipeline for a new request, or none if there is none."""
        known = self._paths.get(service.name)
        if (
            known is not None
            and known.version == self._version
            and now - known.at < _PATH_LIFE
        ):
            return known.pipeline
        found = self._search(service, size, now, None, frozenset())
        if found is not None:
            self._paths[service.name] = _KnownPath(found, now, self._version)
        return found

    def find_detour(
        self,
        service: catalog.Service,
        size: placement.Size,
        pipeline: model.Pipeline,
        now: datetime.datetime,
    ) -> model.Pipeline | None:
        """Return a pipeline with the same first stage, for a running one."""
        first = pipeline.stages[0]
        kept = frozenset(one.endpoint_id for one in pipeline.stages)
        return self._search(service, size, now, first, kept)

    def is_usable(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Tell whether an endpoint may get new work."""
        known = self.registry.find(endpoint_id)
        return known is not None and self._is_usable(known, now)

    def _search(
        self,
        service: catalog.Service,
        size: placement.Size,
        now: datetime.datetime,
        first: model.Stage | None,
        kept: frozenset[model.EndpointId],
    ) -> model.Pipeline | None:
        """Search at home, and everywhere if home does not suffice."""
        if service.engine is None:
            return None
        engines = self._engines(service, service.engine, now)
        at_home = [
            one for one in engines if one.data_centre == self._data_centre
        ]
        for candidates in (at_home, engines):
            finder = placement.PathFinder(service.engine, candidates)
            found = finder.find(size, self._data_centre, first, kept)
            if isinstance(found, result.Ok):
                return found.ok_value
        return None

    def _engines(
        self,
        service: catalog.Service,
        profile: catalog.EngineProfile,
        now: datetime.datetime,
    ) -> list[placement.PathEngine]:
        found: list[placement.PathEngine] = []
        for word in self._usable(service.name, now):
            accelerator = profile.accelerator(word.accelerator)
            if word.layers is None or accelerator is None:
                continue
            found.append(
                placement.PathEngine(
                    word.endpoint_id,
                    word.address,
                    word.data_centre,
                    word.layers,
                    accelerator,
                    self._running[word.endpoint_id] * self._share,
                    self._tokens[word.endpoint_id] * self._share,
                )
            )
        return found

    def _usable(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> list[catalog.Registration]:
        return [
            known.registration
            for known in self.registry
            if known.registration.service == service
            and self._is_usable(known, now)
        ]

    def _is_usable(
        self, known: catalog.Known, now: datetime.datetime
    ) -> bool:
        word = known.registration
        return (
            word.state is catalog.EndpointState.READY
            and now - known.heard_at <= self._silence
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
