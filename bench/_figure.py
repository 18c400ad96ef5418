"""One measured figure, as every bench returns them."""

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """A figure with its unit, its spread and the setting it holds for."""

    name: str
    value: float
    unit: str
    setting: str = ""
    spread: str = ""
