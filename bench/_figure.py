"""The result type of all benchmarks."""

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """One measured value.

    ``setting`` names the conditions of the measurement, such as the size of
    the fleet; ``spread`` is a text with the range or the percentiles.
    """

    name: str
    value: float
    unit: str
    setting: str = ""
    spread: str = ""
