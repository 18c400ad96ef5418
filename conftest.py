"""Passes over the tests listed in KNOWN-RED.txt, and prints their outcomes."""

import gc
import pathlib

import pytest

_LIST = pathlib.Path(__file__).with_name("KNOWN-RED.txt")
_REASON = "listed in KNOWN-RED.txt"


def _known_red() -> set[str]:
    if not _LIST.exists():
        return set()
    return {
        line.strip()
        for line in _LIST.read_text(encoding="utf-8").splitlines()
        if "::" in line and not line.startswith(" ")
    }


def pytest_collection_modifyitems(
    session: pytest.Session, items: list[pytest.Item]
) -> None:
    """Let listed tests fail; refuse entries that name no test.

    Entries can only be checked where their files were collected.
    """
    known = _known_red()
    collected = {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    names_tests = any("::" in str(arg) for arg in session.config.args)
    for entry in sorted(known - collected):
        if entry.partition("::")[0] in files and not names_tests:
            raise pytest.UsageError(f"KNOWN-RED.txt names no test: {entry}")
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=_REASON, strict=False))


def pytest_collection_finish(session: pytest.Session) -> None:
    """Leave what collection has made out of the garbage collector's work.

    A full collection of it takes longer than some of the time limits that
    tests in this process hold to. The programs do the same after imports.
    """
    gc.collect()
    gc.freeze()


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print each listed test that ran, and how it ended."""
    known = _known_red()
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            if report.nodeid in known:
                terminalreporter.write_line(
                    f"KNOWN-RED {outcome}: {report.nodeid}"
                )
