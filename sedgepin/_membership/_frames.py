"""What entries send each other about endpoints.

Frames are arrays, so that new fields go to the end and have defaults.  A
frame may be lost, repeated or come late: nothing in it depends on another.
"""

import typing

import msgspec

from sedgepin import _model as model

LARGEST_NUMBER = 2**63 - 1
# Some 34 years: within what instants and durations can hold.
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
_MaybeCentiseconds = typing.Annotated[
    int, msgspec.Meta(ge=-1, le=LARGEST_CENTISECONDS)
]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]

UNKNOWN = -1


class Refresh(msgspec.Struct, frozen=True, array_like=True):
    """What changed in an endpoint's announcement.

    ``handle`` is the sender's number for the endpoint's unchanging part,
    never used for another in one life of the sender.  Ages are in hundredths
    of a second by the sender's clock, rounded up; the endpoint's is
    ``UNKNOWN`` where nothing bounds it.  Load is in steps.  The sequence is
    counted from that of the introduction.
    """

    handle: _Count
    sequence_step: _Step
    age_centiseconds: _MaybeCentiseconds
    load_age_centiseconds: _Centiseconds = 0
    running_step: _Count = 0
    queued_step: _Count = 0
    queued_tokens_step: _Count = 0
    cache_events: typing.Annotated[
        tuple[model.CacheEvent, ...], msgspec.Meta(max_length=256)
    ] = ()


class Introduction(msgspec.Struct, frozen=True, array_like=True):
    """The unchanging part of an endpoint's announcement, under a handle."""

    handle: _Count
    first_sequence: _Count
    announcement: model.Announcement


class EndpointLeft(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """An incarnation of an endpoint started to leave."""

    endpoint_id: _Name
    incarnation: _Count


class EndpointUnreachable(
    msgspec.Struct, frozen=True, array_like=True, tag=True
):
    """An entry failed to reach an endpoint."""

    endpoint_id: _Name
    incarnation: _Count


class Rumour(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A fingerprint that holds for a time yet, such as a quarantine."""

    fingerprint: _Name
    remaining_milliseconds: _Milliseconds


News = EndpointLeft | EndpointUnreachable | Rumour


class GossipFrame(msgspec.Struct, frozen=True, array_like=True, tag="gossip"):
    """One message from an entry to another.

    Instants are milliseconds since the start of the named life.  ``heard``
    came from endpoints to the sender and is to be passed on; ``relayed`` is
    not.  ``wanted`` asks for handles to be introduced, ``asked`` for
    endpoints to be refreshed.  ``digest`` covers left marks and rumours.
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
