"""Tests of the list of known failures, in a small project of its own."""

import pathlib
import shutil
import subprocess
import sys

import pytest

_CONFTEST = pathlib.Path(__file__).parents[2] / "conftest.py"
_TESTS = """
def test_red():
    assert False


def test_also_red():
    assert False


def test_green():
    pass
"""


class TestKnownRed:
    @pytest.mark.parametrize(
        ("entries", "exit_code", "printed"),
        [
            ((), 1, "2 failed, 1 passed"),
            (("test_red",), 1, "1 failed, 1 passed, 1 xfailed"),
            (
                ("test_red", "test_also_red"),
                0,
                "KNOWN-RED xfailed: test_it.py::test_also_red",
            ),
            (
                ("test_red", "test_also_red", "test_green"),
                0,
                "KNOWN-RED xpassed: test_it.py::test_green",
            ),
            (("test_gone",), 4, "names no test: test_it.py::test_gone"),
        ],
    )
    def test_exactly_the_listed_tests_may_fail(
        self,
        tmp_path: pathlib.Path,
        entries: tuple[str, ...],
        exit_code: int,
        printed: str,
    ) -> None:
        shutil.copy(_CONFTEST, tmp_path)
        (tmp_path / "test_it.py").write_text(_TESTS)
        lines = [
            f"test_it.py::{entry}\n    seen: it fails" for entry in entries
        ]
        (tmp_path / "KNOWN-RED.txt").write_text("\n".join(lines))
        process = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
            cwd=tmp_path,
            capture_output=True,
            text=True,
            check=False,
        )
        assert process.returncode == exit_code, process.stdout
        assert printed in process.stdout + process.stderr
