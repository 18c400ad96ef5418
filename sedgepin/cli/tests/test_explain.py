"""Tests of the ``explain`` subcommand."""

import pathlib

import pytest

from sedgepin import cli
from sedgepin.cli import _explain

# Of these lines, the explanation of request r1 has the three about r1 and its
# endpoint b while r1 ran.  It skips lines without a complete JSON object,
# endpoint z, the failure of endpoint a after r1 ended, request r2, and an
# event that concerns only requests of the VM that logged it.
_LOG = """\
built in 9.7 s
  1.0 edge-1 {"time":"1","process":"edge-1","event":"request_dispatched",\
"request":"r1","endpoint":"a","pipeline":"a=0-2,b=2-4"}
  3.0 edge-1 {"time":"3","process":"edge-1","event":"request_failed",\
"request":"r1","code":"outcome_unknown"}
{"time":"2","process":"core-1","event":"endpoint_failed","endpoint":"b"}
{"time":"2","process":"core-1","event":"endpoint_failed","endpoint":"z"}
{"time":"9","process":"core-1","event":"endpoint_failed","endpoint":"a"}
{"time":"2","process":"edge-1","event":"request_failed","request":"r2"}
{"time":"2","process":"edge-2","event":"stalls_inspected","endpoint":"a"}
{"time":"2","event":
"""


class TestExplain:
    def test_selects_lines_of_the_request_and_its_endpoints_by_time(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "log"
        path.write_text(_LOG)
        selected = _explain.select_lines("r1", _explain.read_lines([path]))
        assert [line["event"] for line in selected] == [
            "request_dispatched",
            "endpoint_failed",
            "request_failed",
        ]

    def test_command_prints_details(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / "log"
        path.write_text(_LOG)
        assert cli.main(["explain", "r1", str(path)]) == 0
        assert "code=outcome_unknown" in capsys.readouterr().out

    def test_unknown_request_id_exits_with_code_refused(
        self, tmp_path: pathlib.Path
    ) -> None:
        path = tmp_path / "log"
        path.write_text(_LOG)
        with pytest.raises(SystemExit) as raised:
            cli.main(["explain", "r9", str(path)])
        assert raised.value.code == 1
