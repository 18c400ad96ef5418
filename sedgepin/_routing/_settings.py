"""Settings of the router, with their units."""

import datetime
import typing

import msgspec

from sedgepin import _model as model


class RoutingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How an entry weighs pipelines against each other.

    ``data_centre`` is the entry's own.  ``load_steepness`` says how
    fast the price of an engine rises with its load over the mean load, and
    ``assigned_work_steepness`` how fast with the work that this entry
    lately assigned to it, over the mean.
    Layers that the same engines hold are a segment;
    ``choices_per_segment`` of them are drawn for each choice, and
    ``price_noise`` is the relative width of a random factor on each price;
    both keep independent entries from all choosing the same engine on the
    same stale report, and the draw bounds the time of a choice.
    ``prefix_block_tokens`` is how many tokens one prefix hash stands for.
    ``unknown_layer_tokens_per_second`` is taken for an engine that does not
    announce its accelerator.  A measured link counts for
    ``measured_link_lifetime``, so that one that was avoided is tried again.

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
