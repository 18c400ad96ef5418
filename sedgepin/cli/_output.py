"""Prints the results of commands as a table or as JSON."""

import collections.abc
import typing

import msgspec


Output: typing.TypeAlias = typing.Literal["table", "json"]


def print_document(document: object, output: Output) -> None:
    """Print a document as JSON, or as a table with a row for each field."""
    if output == "json" or not isinstance(document, dict):
        print(_indented(document))
        return
    width = max((len(str(name)) for name in document), default=0)
    for name, value in document.items():
        shown = value if isinstance(value, str) else _compact(value)
        print(f"{name!s:<{width}}  {shown}")


def print_rows(
    rows: collections.abc.Sequence[dict[str, object]],
    columns: collections.abc.Sequence[str],
    output: Output,
) -> None:
    """Print rows as JSON, or as a table with the given columns."""
    if output == "json":
        print(_indented(rows))
        return
    cells = [[_cell(row.get(name)) for name in columns] for row in rows]
    table = [list(columns), *cells]
    widths = [
        max(len(line[column]) for line in table)
        for column in range(len(columns))
    ]
    for line in table:
        padded = [cell.ljust(width) for cell, width in zip(line, widths)]
        print("  ".join(padded).rstrip())


def _cell(value: object) -> str:
    return value if isinstance(value, str) else _compact(value)


def _compact(value: object) -> str:
    return "" if value is None else msgspec.json.encode(value).decode()


def _indented(value: object) -> str:
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()
