"""The record of an accepted release note."""

import datetime

import msgspec


class AcceptedNote(msgspec.Struct, frozen=True):
    """An accepted note, with its log index and the time of acceptance."""

    number: int
    note_id: str
    author: str
    title: str
    digest: str
    log_index: int
    accepted_at: datetime.datetime
