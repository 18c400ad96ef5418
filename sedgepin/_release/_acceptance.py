"""The record of a note's acceptance."""

import datetime

import msgspec


class AcceptedNote(msgspec.Struct, frozen=True):
    """Which note won its number, when, and where in the log."""

    number: int
    note_id: str
    author: str
    title: str
    digest: str
    log_index: int
    accepted_at: datetime.datetime
