"""The ``service-levels`` subcommand: whose requests wait, fail or are late."""

import concurrent.futures
import datetime
import functools
import os

import httpcore
import msgspec

from sedgepin import _service_levels as levels
from sedgepin.cli import _exit
from sedgepin.cli import _operator_client
from sedgepin.cli import _output

ENTRIES_VARIABLE = "SEDGEPIN_ENTRIES"

# VMs that are asked at the same time.  One that is silent takes a second, so
# that 320 silent VMs take ten seconds.
_PARALLEL_REQUESTS = 32
_OK_STATUS = 200
_COLUMNS = (
    "customer",
    "route",
    "data_centre",
    "affected",
    "served",
    "reason",
)
# Those that do not fit are counted.
_MAX_LISTED_MISSING = 5


class _Missing(msgspec.Struct, frozen=True):
    """An entry VM that does not report, by its address."""

    vm: str
    problem: str


class _Summary(msgspec.Struct, frozen=True):
    """The output of the command; ``of`` counts the VMs that were asked."""

    reporting: int
    of: int
    missing: list[_Missing]
    since: datetime.datetime | None
    rows: list[levels.Row]


def service_levels(
    *entries: str,
    rows: int = 20,
    output: _output.Output = "table",
) -> None:
    """Show whose requests wait, are refused or are late, the worst first.

    The counts are those of the last five to ten minutes, by customer, route
    and data centre.  Entry VMs that do not report are listed.

    :param entries: addresses of entry VMs; by default those in
        SEDGEPIN_ENTRIES
    :param rows: maximum number of rows of the table; JSON has all
    :param output: output format
    """
    variable = os.environ.get(ENTRIES_VARIABLE, "")
    addresses = list(
        dict.fromkeys(entries or variable.replace(",", " ").split())
    )
    summary = _collect(addresses)
    if output == "json":
        _output.print_document(summary, output)
    else:
        _print_table(summary, rows)
    if not summary.reporting:
        raise SystemExit(int(_exit.ExitCode.UNREACHABLE))


def _collect(addresses: list[str]) -> _Summary:
    with (
        _operator_client.open_pool(_PARALLEL_REQUESTS) as pool,
        concurrent.futures.ThreadPoolExecutor(_PARALLEL_REQUESTS) as executor,
    ):
        ask = functools.partial(_ask, pool)
        answers = list(executor.map(ask, addresses))
    reports = [one for one in answers if isinstance(one, levels.Report)]
    return _Summary(
        reporting=len(reports),
        of=len(addresses),
        missing=[one for one in answers if isinstance(one, _Missing)],
        since=min((report.since for report in reports), default=None),
        rows=levels.summarize(reports),
    )


def _ask(
    pool: httpcore.ConnectionPool, address: str
) -> levels.Report | _Missing:
    """Return the report of an entry VM, or why there is none."""
    if not _operator_client.is_address(address):
        return _Missing(address, "is no address")
    response = _operator_client.send_to(
        pool, address, "GET", levels.REPORT_PATH
    )
    if response is None:
        return _Missing(address, "does not answer")
    if response.status != _OK_STATUS:
        return _Missing(address, f"answers with status {response.status}")
    try:
        return msgspec.json.decode(response.content, type=levels.Report)
    except msgspec.DecodeError:
        # Such as the metrics of an older build, which sends them on any path.
        return _Missing(address, "answers no service levels")


def _print_table(summary: _Summary, max_rows: int) -> None:
    since = ""
    if summary.since is not None:
        since = f", since {summary.since:%H:%M:%S} UTC"
    print(f"{summary.reporting} of {summary.of} entry VMs report{since}")
    for missing in summary.missing[:_MAX_LISTED_MISSING]:
        print(f"missing: {missing.vm} {missing.problem}")
    unlisted = len(summary.missing) - _MAX_LISTED_MISSING
    if unlisted > 0:
        print(f"missing: {unlisted} more, listed with --output json")
    if not summary.of:
        print(f"specify addresses or set {ENTRIES_VARIABLE}")
    if not summary.rows:
        return
    print()
    shown = summary.rows[: max(0, max_rows)]
    _output.print_rows(
        [msgspec.structs.asdict(row) for row in shown], _COLUMNS, "table"
    )
    hidden = summary.rows[len(shown) :]
    if hidden:
        affected = sum(row.affected for row in hidden)
        print(f"{len(hidden)} more rows with {affected} affected in all")
