"""Tests of the Prometheus metric sink."""

import datetime
import pathlib

from sedgepin import _shell as shell

_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "METRICS.md"


class TestPrometheusSink:
    def test_renders_counters_and_histogram_buckets(self) -> None:
        sink = shell.PrometheusSink()
        sink.increment("request_answered", 1)
        sink.increment("request_answered", 2)
        sink.record_duration("answer", datetime.timedelta(milliseconds=300))
        text = sink.text().decode()
        assert 'sedgepin_events_total{event="request_answered"} 3.0' in text
        bucket = 'sedgepin_duration_seconds_bucket{le="%s",name="answer"} %s'
        assert bucket % ("0.2", "0.0") in text
        assert bucket % ("0.35", "1.0") in text

    def test_documentation_names_every_metric(self) -> None:
        page = _PAGE.read_text()
        for name in ("sedgepin_events_total", "first_output", "answer"):
            assert name in page
