"""The platform's encoded names occur only in the adapter."""

import pathlib
import re

import sedgepin

_PLATFORM_NAMES = re.compile(
    "|".join(
        (
            "X-Hop-Count",
            "X-Response-Seal",
            "X-Prompt-Prefix",
            "X-Expect-Instance",
            "X-Not-Executed",
            "X-Deadline-Ms",
            "X-Token-Usage",
            "X-Tenant",
            "At-Server",
            "heartbeatUrl",
            "heartbeatMs",
            "coldRemainingMs",
            "trafficSplit",
            "kvTokenBytes",
            "pathPrefix",
            "SEDGEPIN_NODE_FILE",
            "/v1/instances",
            "/v1/config",
            "/v1/report",
            "/v1/order\\b",
        )
    ),
    re.IGNORECASE,
)


class TestBoundary:
    def test_platform_names_occur_only_in_adapter(self) -> None:
        root = pathlib.Path(sedgepin.__file__).parent
        occurrences = [
            f"{path.relative_to(root)}: {match.group()}"
            for path in sorted(root.rglob("*.py"))
            if "platform" not in path.relative_to(root).parts
            for match in _PLATFORM_NAMES.finditer(path.read_text())
        ]
        assert occurrences == []
