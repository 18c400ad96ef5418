"""Settings of the router."""

import datetime
import typing

import msgspec

from sedgepin import _model as model


class RoutingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the cost model and limits of the router's caches.

    ``data_centre`` is the data centre of the entry VM itself.

    The cost of an engine grows exponentially with its load relative to the
    mean load, at the rate ``load_steepness``, and with the work that this
    entry VM recently assigned to it relative to the mean, at the rate
    ``assigned_work_steepness``.

    A segment is a run of layers that the same engines hold.  For each
    routing decision ``choices_per_segment`` engines are sampled from every
    segment, and each cost is multiplied by a random factor of relative
    width ``price_noise``.  Both keep independent entry VMs from choosing
    the same engine after the same stale load report; sampling also bounds
    the time of a decision.

    ``prefix_block_tokens`` is the number of tokens covered by one prefix
    hash, and ``prefix_hashes_per_endpoint`` the number of hashes kept for
    each endpoint.  ``link_within_data_centre`` and
    ``link_between_data_centres`` are the one-way times assumed for links
    that are neither configured nor measured.
    ``unknown_layer_tokens_per_second`` is assumed for an engine that does
    not announce its accelerator.  A link measurement expires after
    ``measured_link_lifetime``, so that a link once measured as slow is used
    again; at most ``measured_links_limit`` pairs of engines are kept.
    ``retry_after`` is returned to callers when nothing can be chosen.

    >>> RoutingSettings(data_centre="beja").choices_per_segment
    3
    """

    data_centre: model.DataCentreId = model.DataCentreId("")
    load_steepness: typing.Annotated[float, msgspec.Meta(ge=0)] = 3.0
    assigned_work_steepness: typing.Annotated[float, msgspec.Meta(ge=0)] = 8.0
    choices_per_segment: typing.Annotated[int, msgspec.Meta(ge=1)] = 3
    price_noise: typing.Annotated[float, msgspec.Meta(ge=0, lt=1)] = 0.1
    prefix_block_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] = 64
    prefix_hashes_per_endpoint: typing.Annotated[int, msgspec.Meta(ge=1)] = (
        4096
    )
    link_within_data_centre: datetime.timedelta = datetime.timedelta(
        microseconds=100
    )
    link_between_data_centres: datetime.timedelta = datetime.timedelta(
        microseconds=500
    )
    unknown_layer_tokens_per_second: typing.Annotated[
        float, msgspec.Meta(gt=0)
    ] = 10_000.0
    measured_link_lifetime: datetime.timedelta = datetime.timedelta(minutes=5)
    measured_links_limit: typing.Annotated[int, msgspec.Meta(ge=0)] = 4096
    retry_after: datetime.timedelta = datetime.timedelta(seconds=1)
