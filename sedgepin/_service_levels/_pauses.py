"""Detects late pauses of a stream at periodic checks."""

import typing


class _Time(typing.Protocol):
    def __lt__(self, other: typing.Any, /) -> bool:
        """Return whether this time is earlier."""


_TimeT = typing.TypeVar("_TimeT", bound=_Time)


class PauseMonitor(typing.Generic[_TimeT]):
    """Reports each late pause once.

    Checked periodically, to avoid work per output.  A pause that ends within
    one period after its target may be missed.
    """

    __slots__ = ("_is_reported", "_position", "_since")

    def __init__(self) -> None:
        self._position = 0
        self._since: _TimeT | None = None
        self._is_reported = False

    def check(
        self, position: int, last_output_at: _TimeT, late_before: _TimeT
    ) -> bool:
        """Return whether a pause has become late since the last check.

        ``position`` counts the outputs so far, and is 0 before the first.
        ``last_output_at`` is when the last one came; it is used only if there
        is a new one.  Pauses that began before ``late_before`` are late.
        """
        if position != self._position or self._since is None:
            self._position = position
            self._since = last_output_at
            self._is_reported = False
        if not position or self._is_reported:
            return False
        self._is_reported = self._since < late_before
        return self._is_reported
