"""Gossip frames that entry VMs exchange about endpoints.

Frames are encoded as arrays: new fields go to the end and need defaults.
Frames may be lost, repeated or delayed.  No frame depends on the arrival of
another: introductions that are missing are requested.
"""

import typing

import msgspec

from sedgepin import _model as model

LARGEST_NUMBER = 2**63 - 1
# About 34 years, within the range of ``datetime`` and ``timedelta``.
LARGEST_MILLISECONDS = 2**40
LARGEST_CENTISECONDS = 2**36

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=LARGEST_NUMBER)]
_Step = typing.Annotated[
    int, msgspec.Meta(ge=-LARGEST_NUMBER, le=LARGEST_NUMBER)
]
_Milliseconds = typing.Annotated[
    int, msgspec.Meta(ge=0, le=LARGEST_MILLISECONDS)
]
_Centiseconds = typing.Annotated[
    int, msgspec.Meta(ge=0, le=LARGEST_CENTISECONDS)
]
_OptionalCentiseconds = typing.Annotated[
    int, msgspec.Meta(ge=-1, le=LARGEST_CENTISECONDS)
]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]

UNKNOWN = -1


class Refresh(msgspec.Struct, frozen=True, array_like=True):
    """The fields of an announcement that change from one to the next.

    ``handle`` refers to the static part of the announcement, which the sender
    transmits in an ``Introduction``.  One incarnation of the sender never
    reuses a handle.
    Ages are in hundredths of a second by the sender's clock.
    ``age_centiseconds`` is an upper bound on the age of the announcement,
    rounded up, or ``UNKNOWN``.  Load figures are quantization steps.
    ``sequence_step`` is the difference to the sequence in the introduction.
    """

    handle: _Count
    sequence_step: _Step
    age_centiseconds: _OptionalCentiseconds
    load_age_centiseconds: _Centiseconds = 0
    running_step: _Count = 0
    queued_step: _Count = 0
    queued_tokens_step: _Count = 0
    cache_events: typing.Annotated[
        tuple[model.CacheEvent, ...], msgspec.Meta(max_length=256)
    ] = ()


class Introduction(msgspec.Struct, frozen=True, array_like=True):
    """The static part of an endpoint's announcement, with its handle.

    Refreshes refer to it by the handle.
    """

    handle: _Count
    first_sequence: _Count
    announcement: model.Announcement


class EndpointLeft(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An incarnation of an endpoint is leaving."""

    endpoint_id: _Name
    incarnation: _Count


class EndpointUnreachable(
    msgspec.Struct, frozen=True, array_like=True, tag=True
):
    """An entry VM failed to reach an incarnation of an endpoint."""

    endpoint_id: _Name
    incarnation: _Count


class Rumour(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A fingerprint valid for a limited time, such as of a quarantine."""

    fingerprint: _Name
    remaining_milliseconds: _Milliseconds


# Items that are flooded to all peers at once, instead of at the next tick.
News = EndpointLeft | EndpointUnreachable | Rumour


class GossipFrame(msgspec.Struct, frozen=True, array_like=True, tag="gossip"):
    """One message from an entry VM to another.

    Instants are milliseconds since the start of the given incarnation.  The
    echo is the latest instant of the recipient that the sender received.
    ``heard`` contains announcements that the sender received from endpoints
    and that the recipient relays; it does not relay those in ``relayed``.
    ``wanted`` requests the introduction of handles, ``asked`` requests
    refreshes of endpoints.  ``digest`` is a checksum of the sender's
    tombstones and rumours, by which the recipient detects a difference.
    """

    incarnation: _Count
    instant_milliseconds: _Milliseconds
    echo_incarnation: int = UNKNOWN
    echo_milliseconds: int = UNKNOWN
    digest: int = UNKNOWN
    heard: tuple[Refresh, ...] = ()
    relayed: tuple[Refresh, ...] = ()
    introduced: tuple[Introduction, ...] = ()
    wanted: tuple[_Count, ...] = ()
    asked: tuple[_Name, ...] = ()
    news: tuple[News, ...] = ()
