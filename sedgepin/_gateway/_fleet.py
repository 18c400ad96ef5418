"""The endpoints that a gateway may use and their estimated load."""

import collections.abc
import dataclasses
import datetime
import random

from sedgepin import _catalog as catalog
from sedgepin._gateway import _calls
from sedgepin._gateway import _own_load
from sedgepin._gateway import _pace_shares
from sedgepin._gateway import _pipeline_search
from sedgepin._gateway import _suspicions
from sedgepin._gateway import _unreported_load
from sedgepin import _model as model
from sedgepin import _pace as pace
from sedgepin import _placement as placement
from sedgepin import _protocol as protocol
from sedgepin import _rate_limits as rate_limits

# A cached pipeline is reused for this long and for this many requests.  Within
# these limits, load shifts by a few percent of the engines' caches.
_PIPELINE_CACHE_TTL = datetime.timedelta(milliseconds=100)
_PIPELINE_CACHE_MAX_USES = 3
# From this cache utilization on, pipelines are not cached, so that each
# request is placed by the current load.
_PIPELINE_CACHE_MAX_UTILIZATION = 0.7
_REPORTED_LOAD_TTL = datetime.timedelta(milliseconds=1000)
# An engine that refused a request counts as full for this long.  Some of its
# requests finish within it, and another refusal costs little.
_REFUSAL_TTL = datetime.timedelta(milliseconds=250)
# An endpoint in another data centre counts as having this many more requests.
_CROSS_DATA_CENTRE_PENALTY_REQUESTS = 2.0

# A permit is needed at once, or the endpoint must need none.
_AT_ONCE = datetime.timedelta()

_Loads = dict[model.EndpointId, protocol.EndpointLoad]


@dataclasses.dataclass(slots=True, frozen=True)
class _ReportedLoad:
    running: int
    waiting: int
    slots: int | None
    reported_at: datetime.datetime

    @property
    def is_full(self) -> bool:
        """Return whether the endpoint has no free slot."""
        if self.slots is None:
            return False
        return self.running + self.waiting >= self.slots


@dataclasses.dataclass(slots=True)
class _CachedPipeline:
    candidate: placement.PipelineCandidate
    cached_at: datetime.datetime
    version: int
    uses: int = 1


class Fleet:
    """Chooses endpoints and pipelines for new work.

    The load from this VM is exact.  The load from other entry VMs is a few
    hundred milliseconds old, from the latest aggregate.
    """

    __slots__ = (
        "_data_centre",
        "_heartbeat_timeout",
        "_last_report",
        "_other_loads",
        "_own_load",
        "_permits",
        "_pipeline_cache",
        "_refused_at",
        "_reported_loads",
        "_suspicions",
        "_version",
        "has_unreported_changes",
        "pace",
        "registry",
        "restrictions",
        "unreported_load",
    )

    def __init__(
        self,
        data_centre: model.DataCentreId,
        heartbeat_timeout: datetime.timedelta,
        rng: random.Random,
        permits: rate_limits.Permits,
    ) -> None:
        self._data_centre = data_centre
        self._permits = permits
        self._heartbeat_timeout = heartbeat_timeout
        self.registry = catalog.Registry()
        self.restrictions = catalog.EndpointRestrictions()
        self._suspicions = _suspicions.Suspicions()
        self._own_load = _own_load.OwnLoad()
        self._reported_loads: dict[model.EndpointId, _ReportedLoad] = {}
        self._refused_at: dict[model.EndpointId, datetime.datetime] = {}
        self._pipeline_cache: dict[model.ServiceName, _CachedPipeline] = {}
        self._last_report: _Loads = {}
        self._other_loads: _Loads = {}
        self._version = 0
        # Whether the load from this VM has changed since its last report.
        self.has_unreported_changes = True
        self.unreported_load = _unreported_load.UnreportedLoad(rng)
        self.pace = _pace_shares.PaceShares(rng)

    def make_load_report(self) -> tuple[protocol.EndpointLoad, ...]:
        """Return the load from this VM on each endpoint, for a report.

        Later aggregates are assumed to contain this report.
        """
        loads = self._own_load.all()
        self._last_report = {load.endpoint_id: load for load in loads}
        self.has_unreported_changes = False
        return loads

    def set_aggregated_load(
        self,
        loads: collections.abc.Iterable[protocol.EndpointLoad],
        now: datetime.datetime,
    ) -> None:
        """Set the load from all entry VMs on each endpoint.

        The aggregate contains this VM's last report, which is subtracted
        because the current load from this VM is known exactly.
        """
        self.unreported_load.record_aggregate(now)
        self._other_loads = {}
        for load in loads:
            own = self._last_report.get(load.endpoint_id)
            self._other_loads[load.endpoint_id] = (
                load if own is None else _own_load.subtract(load, own)
            )

    def set_pace_limits(
        self,
        limits: tuple[protocol.PaceLimit, ...] | None,
        sends_per_second: dict[model.ServiceName, float],
        now: datetime.datetime,
    ) -> None:
        """Set the limits of endpoints, and what all VMs send to services."""

        def expected_sends(endpoint_id: model.EndpointId) -> float:
            record = self.registry.find(endpoint_id)
            if record is None:
                return 0.0
            return sends_per_second.get(record.registration.service, 0.0)

        self.pace.set_limits(limits, expected_sends, now)
        if limits and any(
            self._has_layers(limit.endpoint_id) for limit in limits
        ):
            self._version += 1

    def add_paced_endpoint(
        self, registration: catalog.Registration, now: datetime.datetime
    ) -> None:
        """Limit a new or returned endpoint until a sum may have named it.

        One without layers has a limit only if it has stated its slots.
        """
        if (
            registration.layers is not None
            or self._stated_slots(registration) > pace.SMALLEST_LIMIT
        ):
            self.pace.add_endpoint(
                registration.endpoint_id, registration.incarnation, now
            )

    def _stated_slots(self, registration: catalog.Registration) -> int:
        """Return the slots that a registration or an answer states, or 0."""
        return registration.slots or self.pace.stated_slots(
            registration.endpoint_id, registration.incarnation
        )

    def make_progress_report(self) -> tuple[protocol.EndpointProgress, ...]:
        """Return what endpoints did with requests since the last report."""
        return self.pace.take_progress(self._incarnation)

    def _incarnation(self, endpoint_id: model.EndpointId) -> int | None:
        record = self.registry.find(endpoint_id)
        return None if record is None else record.registration.incarnation

    def record_sent(self, endpoint_id: model.EndpointId) -> None:
        """Count a request that was sent to an endpoint itself."""
        if self.pace.record_sent(endpoint_id) and self._has_layers(
            endpoint_id
        ):
            self._version += 1

    def _has_layers(self, endpoint_id: model.EndpointId) -> bool:
        """Return whether an endpoint may be part of a pipeline."""
        record = self.registry.find(endpoint_id)
        return record is not None and record.registration.layers is not None

    def invalidate_pipelines(self) -> None:
        """Drop cached pipelines after a change of the endpoints."""
        self._version += 1

    def suspect(
        self,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
        is_unreached: bool = False,
    ) -> bool:
        """Exclude an endpoint from new work for a while.

        Return false if it is unknown or excluded already.  ``is_unreached``
        tells that no connection to it could be made.
        """
        record = self.registry.find(endpoint_id)
        if record is None:
            return False
        incarnation = record.registration.incarnation
        if self._suspicions.is_suspected(endpoint_id, incarnation, now):
            return False
        self._suspicions.record_failure(
            endpoint_id, incarnation, now, is_unreached
        )
        self._version += 1
        return True

    def begin_probes(
        self, now: datetime.datetime
    ) -> list[catalog.Registration]:
        """Return the endpoints to probe now; they count as being probed."""
        due: list[catalog.Registration] = []
        for endpoint_id, incarnation in self._suspicions.begin_probes(now):
            record = self.registry.find(endpoint_id)
            if (
                record is not None
                and record.lost_at is None
                and record.registration.incarnation == incarnation
                and record.registration.state is catalog.EndpointState.READY
            ):
                due.append(record.registration)
        return due

    def end_probe(
        self,
        endpoint_id: model.EndpointId,
        is_to_blame: bool,
        now: datetime.datetime,
    ) -> bool:
        """Exclude an endpoint that a probe did not reach for longer.

        If it is not to blame, it is probed again.  Return false if no probe
        was to decide on it.
        """
        record = self.registry.find(endpoint_id)
        if record is None or not self._suspicions.is_probed(endpoint_id, now):
            return False
        if not is_to_blame:
            self._suspicions.repeat_probe(endpoint_id)
            return True
        self._suspicions.record_failure(
            endpoint_id, record.registration.incarnation, now, True
        )
        return True

    def is_probed(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether the end of a probe decides on an endpoint."""
        return self._suspicions.is_probed(endpoint_id, now)

    def record_invalid_answer(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Record that an endpoint sent what is no answer.

        Return whether it has done so repeatedly.
        """
        record = self.registry.find(endpoint_id)
        if record is None:
            return False
        return self._suspicions.record_invalid_answer(
            endpoint_id, record.registration.incarnation, now
        )

    def record_valid_answer(self, endpoint_id: model.EndpointId) -> None:
        """Record a complete answer, which also removes the suspicion."""
        self._suspicions.record_valid_answer(endpoint_id)

    def clear_suspicion(self, endpoint_id: model.EndpointId) -> None:
        """Remove the suspicion of an endpoint that began to answer."""
        self._suspicions.clear(endpoint_id)

    def record_reported_load(
        self,
        endpoint_id: model.EndpointId,
        metadata: _calls.AnswerMetadata,
        now: datetime.datetime,
        incarnation: int | None = None,
    ) -> None:
        """Record the load from an answer's metadata, if it has one.

        That of another ``incarnation`` than the latest one tells nothing of
        it; ``None`` stands for the latest one.
        """
        record = self.registry.find(endpoint_id)
        if record is not None and incarnation not in (
            None,
            record.registration.incarnation,
        ):
            return
        if metadata.running is not None and metadata.waiting is not None:
            self._reported_loads[endpoint_id] = _ReportedLoad(
                metadata.running, metadata.waiting, metadata.slots, now
            )
        if metadata.slots and record is not None:
            registration = record.registration
            if registration.layers is None and not registration.slots:
                self.pace.record_stated_slots(
                    endpoint_id, registration.incarnation, metadata.slots
                )

    def record_refusal(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> None:
        """Count an engine that refused a request as full for a while."""
        self._refused_at[endpoint_id] = now
        self._version += 1

    def add_load(self, load: _own_load.RequestLoad) -> None:
        """Add a request to the load of its endpoints."""
        self.has_unreported_changes = True
        self._own_load.add(load)
        self.pace.add_load(load)

    def remove_load(self, load: _own_load.RequestLoad) -> None:
        """Remove a request from the load of its endpoints."""
        self.has_unreported_changes = True
        self._own_load.remove(load)
        self.pace.remove_load(load)

    def load_on(self, endpoint_id: model.EndpointId) -> protocol.EndpointLoad:
        """Return the load of all entry VMs on an endpoint.

        That of this VM is exact, that of the others as old as the aggregate.
        """
        own = self._own_load.on(endpoint_id)
        other = self._other_loads.get(endpoint_id)
        return own if other is None else _own_load.add(own, other)

    def choose_endpoint(
        self,
        service: catalog.Service,
        excluded: collections.abc.Container[model.EndpointId],
        now: datetime.datetime,
        permit_wait: datetime.timedelta | None = _AT_ONCE,
        allowed: frozenset[model.EndpointId] | None = None,
    ) -> catalog.Registration | None:
        """Return the least loaded endpoint of a plain service.

        Endpoints that failed recently are used only if there is no other, and
        not if ``allowed`` names the only endpoints to choose from.  One with
        as many requests of all VMs as it accepts connections gets none.  See
        ``find_pipeline`` for ``permit_wait``.
        """
        sound = [
            record.registration
            for record in self._usable(service.name, now)
            if record.registration.endpoint_id not in excluded
            and (allowed is None or record.registration.endpoint_id in allowed)
        ]
        usable = [
            registration
            for registration in sound
            if self._may_get_permit(registration, permit_wait, now)
            and self._accepts_connection(registration, service)
        ]
        if not sound and allowed is None:
            # Without an alternative, use an endpoint that failed recently.
            usable = [
                record.registration
                for record in self.registry
                if record.registration.service == service.name
                and record.registration.state is catalog.EndpointState.READY
                and record.is_live(self._heartbeat_timeout, now)
                and not self._is_restricted(record.registration, now)
                and record.registration.endpoint_id not in excluded
                and self._may_get_permit(record.registration, permit_wait, now)
                and self._accepts_connection(record.registration, service)
            ]
        # Limits steer requests to other endpoints with room, and reject none.
        candidates = self._paced_with_room(usable, now) or usable
        return min(
            candidates,
            key=lambda registration: self._load_key(registration, now),
            default=None,
        )

    def _paced_with_room(
        self,
        registrations: list[catalog.Registration],
        now: datetime.datetime,
    ) -> list[catalog.Registration]:
        """Return those that are below their limits and not full.

        None if none of them has a limit.
        """
        if not any(
            self.pace.has_limit(registration.endpoint_id)
            for registration in registrations
        ):
            return []
        return [
            registration
            for registration in registrations
            if self.pace.may_send(
                registration.endpoint_id, registration.incarnation, now
            )
            and self._has_free_slot(registration, now)
        ]

    def _has_free_slot(
        self, registration: catalog.Registration, now: datetime.datetime
    ) -> bool:
        """Return whether an endpoint has a free slot, as far as is known."""
        endpoint_id = registration.endpoint_id
        if self._counts_as_full(endpoint_id, now):
            return False
        slots = self._stated_slots(registration)
        return not slots or self.load_on(endpoint_id).running < slots

    def knows_endpoints(
        self,
        service: catalog.Service,
        size: placement.RequestSize | None,
        now: datetime.datetime,
    ) -> bool:
        """Return whether endpoints are known that together make a service.

        They may be suspected, or want no requests at the moment.
        """
        registrations = [
            record.registration
            for record in self.registry
            if record.registration.service == service.name
            and record.registration.state is catalog.EndpointState.READY
            and record.is_live(self._heartbeat_timeout, now)
        ]
        if service.engine is None or size is None:
            return bool(registrations)
        missing = set(range(service.engine.layer_count))
        for registration in registrations:
            if registration.layers is not None:
                layers = registration.layers
                missing.difference_update(range(layers.first, layers.end))
        return not missing

    def find_pipeline(
        self,
        service: catalog.Service,
        size: placement.RequestSize,
        now: datetime.datetime,
        permit_wait: datetime.timedelta | None = _AT_ONCE,
        heads: frozenset[model.EndpointId] | None = None,
    ) -> placement.PipelineCandidate | None:
        """Return the best pipeline for a new request, if one is possible.

        A first engine that needs a permit may have one to give within
        ``permit_wait``; with ``None`` it needs none.  Without ``heads``, the
        only first engines allowed, a recent result for the same service may
        be returned again.
        """
        if not len(self._permits.limits):
            permit_wait = _AT_ONCE
        cached = self._pipeline_cache.get(service.name)
        if (
            cached is not None
            and heads is None
            and permit_wait == _AT_ONCE
            and cached.version == self._version
            and now - cached.cached_at < _PIPELINE_CACHE_TTL
            and cached.uses < _PIPELINE_CACHE_MAX_USES
        ):
            cached.uses += 1
            return cached.candidate
        if service.engine is None:
            return None
        engines = self._engines(service, service.engine, now, permit_wait)
        if heads is not None:
            engines = [
                dataclasses.replace(
                    engine,
                    may_begin=engine.may_begin and engine.endpoint_id in heads,
                )
                for engine in engines
            ]
        search = _pipeline_search.PipelineSearch(
            self._data_centre, service.engine, size
        )
        paced = self._within_pace(engines, now)
        candidate = self._search(search, paced, now)
        if paced is not engines and (
            candidate is None or candidate.cache_utilization > 1.0
        ):
            # Limits steer requests to other engines, and reject none.
            candidate = self._search(search, engines, now)
        if permit_wait != _AT_ONCE or heads is not None:
            return candidate
        self._pipeline_cache.pop(service.name, None)
        if (
            candidate is not None
            and candidate.cache_utilization < _PIPELINE_CACHE_MAX_UTILIZATION
        ):
            self._pipeline_cache[service.name] = _CachedPipeline(
                candidate, now, self._version
            )
        return candidate

    def _search(
        self,
        search: _pipeline_search.PipelineSearch,
        engines: list[placement.CandidateEngine],
        now: datetime.datetime,
    ) -> placement.PipelineCandidate | None:
        return search.best_after_unreported(
            engines, self.unreported_load, self.unreported_load.draw(now)
        )

    def _within_pace(
        self,
        engines: list[placement.CandidateEngine],
        now: datetime.datetime,
    ) -> list[placement.CandidateEngine]:
        """Let engines at their limit begin no pipeline.

        Return ``engines`` itself if none of them has a limit.
        """
        if not any(
            self.pace.has_limit(engine.endpoint_id) for engine in engines
        ):
            return engines
        return [
            dataclasses.replace(
                engine,
                may_begin=engine.may_begin
                and self.pace.may_send(
                    engine.endpoint_id,
                    self._incarnation(engine.endpoint_id),
                    now,
                ),
            )
            for engine in engines
        ]

    def find_pipeline_from(
        self,
        service: catalog.Service,
        size: placement.RequestSize,
        endpoint_id: model.EndpointId,
        now: datetime.datetime,
    ) -> placement.PipelineCandidate | None:
        """Return the best pipeline that begins with an engine."""
        if service.engine is None:
            return None
        engines = [
            dataclasses.replace(
                engine, may_begin=engine.endpoint_id == endpoint_id
            )
            for engine in self._engines(service, service.engine, now)
        ]
        search = _pipeline_search.PipelineSearch(
            self._data_centre, service.engine, size
        )
        return search.best(engines)

    def find_failover_pipeline(
        self,
        service: catalog.Service,
        size: placement.RequestSize,
        pipeline: model.Pipeline,
        now: datetime.datetime,
    ) -> model.Pipeline | None:
        """Return a pipeline with the same first stage, if one is possible.

        It replaces ``pipeline``, on which a request is running.  Engines of
        the old pipeline cost less, because they have prefilled the request
        already.
        """
        if service.engine is None:
            return None
        first = pipeline.stages[0]
        prefilled = frozenset(stage.endpoint_id for stage in pipeline.stages)
        engines = self._engines(service, service.engine, now)
        search = _pipeline_search.PipelineSearch(
            self._data_centre, service.engine, size
        )
        candidate = search.best(engines, first, prefilled)
        return None if candidate is None else candidate.pipeline

    def is_suspected(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether an endpoint failed recently, is lost or unknown."""
        record = self.registry.find(endpoint_id)
        if record is None:
            return True
        return record.lost_at is not None or self._suspicions.is_suspected(
            endpoint_id, record.registration.incarnation, now
        )

    def cache_utilization(
        self, service: catalog.Service, endpoint_id: model.EndpointId
    ) -> float:
        """Return the share of an engine's cache that is allocated.

        It is 0 for an endpoint that is unknown or is not an engine.
        """
        record = self.registry.find(endpoint_id)
        profile = service.engine
        if record is None or profile is None:
            return 0.0
        registration = record.registration
        accelerator = profile.accelerator(registration.accelerator)
        if accelerator is None or registration.layers is None:
            return 0.0
        capacity_tokens = placement.cache_capacity_tokens(
            profile, accelerator, registration.layers.count
        )
        tokens = self.load_on(endpoint_id).tokens
        return tokens / max(1.0, capacity_tokens)

    def is_usable(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether an endpoint may get new work."""
        record = self.registry.find(endpoint_id)
        return record is not None and self._is_usable(record, now)

    def may_run(self, stage: model.Stage, now: datetime.datetime) -> bool:
        """Return whether an engine may get new work for some layers."""
        record = self.registry.find(stage.endpoint_id)
        if record is None or not self._is_usable(record, now):
            return False
        layers = record.registration.layers
        return (
            layers is not None
            and layers.first <= stage.layers.first
            and stage.layers.end <= layers.end
            and not self._counts_as_full(stage.endpoint_id, now)
        )

    def _engines(
        self,
        service: catalog.Service,
        profile: catalog.EngineProfile,
        now: datetime.datetime,
        permit_wait: datetime.timedelta | None = _AT_ONCE,
    ) -> list[placement.CandidateEngine]:
        engines: list[placement.CandidateEngine] = []
        for record in self._usable(service.name, now):
            registration = record.registration
            accelerator = profile.accelerator(registration.accelerator)
            if registration.layers is None or accelerator is None:
                continue
            load = self.load_on(registration.endpoint_id)
            engines.append(
                placement.CandidateEngine(
                    registration.endpoint_id,
                    registration.address,
                    registration.data_centre,
                    registration.layers,
                    accelerator,
                    load.running,
                    load.tokens,
                    record.slowdown,
                    has_refused=self._counts_as_full(
                        registration.endpoint_id, now
                    ),
                    may_begin=self._may_get_permit(
                        registration, permit_wait, now
                    ),
                )
            )
        return engines

    def _may_get_permit(
        self,
        registration: catalog.Registration,
        wait: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> bool:
        """Return whether an endpoint may get a request within some time.

        Without ``wait``, only one that has named no limit.
        """
        endpoint_id = registration.endpoint_id
        incarnation = registration.incarnation
        if self._permits.limits.find(endpoint_id, incarnation) is None:
            return True
        if wait is None:
            return False
        return self._permits.free_at(endpoint_id, incarnation, now) <= (
            now + wait
        )

    def _accepts_connection(
        self, registration: catalog.Registration, service: catalog.Service
    ) -> bool:
        """Return whether an endpoint has a connection left for a request."""
        if not service.connection_limit:
            return True
        running = self.load_on(registration.endpoint_id).running
        return running < service.connection_limit

    def limited(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> list[tuple[model.EndpointId, datetime.datetime]]:
        """Return a service's endpoints with limits, and when each is free.

        Of engines, those that can be the first of a pipeline.
        """
        return [
            (
                registration.endpoint_id,
                self._permits.free_at(
                    registration.endpoint_id, registration.incarnation, now
                ),
            )
            for registration in (
                record.registration for record in self._usable(service, now)
            )
            if (registration.layers is None or not registration.layers.first)
            and self._permits.limits.find(
                registration.endpoint_id, registration.incarnation
            )
        ]

    def _counts_as_full(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether an engine refused work or reported no free slot."""
        refused_at = self._refused_at.get(endpoint_id)
        if refused_at is not None and now - refused_at < _REFUSAL_TTL:
            return True
        load = self._reported_loads.get(endpoint_id)
        return (
            load is not None
            and load.is_full
            and now - load.reported_at < _REFUSAL_TTL
        )

    def _usable(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> list[catalog.EndpointRecord]:
        return [
            record
            for record in self.registry
            if record.registration.service == service
            and self._is_usable(record, now)
        ]

    def _is_usable(
        self, record: catalog.EndpointRecord, now: datetime.datetime
    ) -> bool:
        registration = record.registration
        return (
            registration.state is catalog.EndpointState.READY
            and record.is_live(self._heartbeat_timeout, now)
            and not self._is_restricted(registration, now)
            and not self._suspicions.is_suspected(
                registration.endpoint_id, registration.incarnation, now
            )
        )

    def is_restricted(
        self, endpoint_id: model.EndpointId, now: datetime.datetime
    ) -> bool:
        """Return whether an endpoint has said that it wants no requests."""
        record = self.registry.find(endpoint_id)
        return record is not None and self._is_restricted(
            record.registration, now
        )

    def _is_restricted(
        self, registration: catalog.Registration, now: datetime.datetime
    ) -> bool:
        return self.restrictions.is_restricted(
            registration.endpoint_id, registration.incarnation, now
        )

    def end_of_pauses(
        self, service: model.ServiceName, now: datetime.datetime
    ) -> datetime.datetime | None:
        """Return when the first endpoint of a service ends its pause.

        ``None`` if none of them has asked for one.
        """
        ends = [
            until
            for record in self.registry
            if record.registration.service == service
            and record.registration.state is catalog.EndpointState.READY
            and record.is_live(self._heartbeat_timeout, now)
            and (
                until := self.restrictions.paused_until(
                    record.registration.endpoint_id,
                    record.registration.incarnation,
                    now,
                )
            )
        ]
        return min(ends, default=None)

    def _load_key(
        self, registration: catalog.Registration, now: datetime.datetime
    ) -> tuple[float, str]:
        load = float(self._own_load.on(registration.endpoint_id).running)
        reported = self._reported_loads.get(registration.endpoint_id)
        if (
            reported is not None
            and now - reported.reported_at < _REPORTED_LOAD_TTL
        ):
            load = max(load, reported.running + reported.waiting)
        if registration.data_centre != self._data_centre:
            load += _CROSS_DATA_CENTRE_PENALTY_REQUESTS
        return (load, registration.endpoint_id)
