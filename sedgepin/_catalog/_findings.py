"""Parts of a valid configuration that have no effect or contradict others.

None of them makes a configuration invalid: ``validate`` returns the faults
for which control VMs refuse it.
"""

import collections.abc
import dataclasses
import datetime
import enum

from sedgepin._catalog import _configuration


class FindingKind(enum.Enum):
    """What is wrong with a part of a configuration."""

    NEVER_MATCHES = "never_matches"
    CONTRADICTION = "contradiction"


@dataclasses.dataclass(slots=True, frozen=True)
class Finding:
    """A part of a valid configuration that its author may not have meant."""

    kind: FindingKind
    field: str
    problem: str


_Findings = collections.abc.Iterator[Finding]
_ZERO = datetime.timedelta(0)


def inspect(
    configuration: _configuration.Configuration,
) -> tuple[Finding, ...]:
    """Return all findings of a configuration that ``validate`` accepts.

    The problems contain no API keys.
    """
    findings: list[Finding] = []
    for position, route in enumerate(configuration.routes):
        findings += _inspect_route(route, f"routes[{position}]")
    findings += _unreachable_services(configuration)
    for position, service in enumerate(configuration.services):
        field = f"services[{position}]"
        if service.connection_limit < 0:
            findings.append(
                _contradiction(
                    f"{field}.connection_limit",
                    f"limit {service.connection_limit} admits no request;"
                    " 0 stands for no limit",
                )
            )
        if service.engine is not None:
            findings += _inspect_engine(service.engine, f"{field}.engine")
    findings += _inspect_limits(configuration.limits)
    for position, customer in enumerate(configuration.customers):
        if not customer.keys:
            findings.append(
                _never_matches(
                    f"customers[{position}].keys",
                    f"customer {customer.name!r} has no keys",
                )
            )
    return tuple(findings)


def _never_matches(field: str, problem: str) -> Finding:
    return Finding(FindingKind.NEVER_MATCHES, field, problem)


def _contradiction(field: str, problem: str) -> Finding:
    return Finding(FindingKind.CONTRADICTION, field, problem)


def _inspect_route(route: _configuration.Route, field: str) -> _Findings:
    if ":" in route.host:
        yield _never_matches(
            f"{field}.host",
            f"host {route.host!r} has a port;"
            " requests are matched without theirs",
        )
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield _never_matches(
            f"{field}.path_prefix",
            f"prefix {prefix!r} does not begin and end with a slash",
        )
    for position, target in enumerate(route.targets):
        if target.weight <= 0:
            yield _never_matches(
                f"{field}.targets[{position}].weight",
                f"service {target.service!r} has weight {target.weight:g}"
                " and gets no requests",
            )
    yield from _inspect_route_limits(route, field)


def _inspect_route_limits(
    route: _configuration.Route, field: str
) -> _Findings:
    if route.first_output_target > route.timeout:
        yield _contradiction(
            f"{field}.first_output_target",
            f"latency target {_seconds(route.first_output_target)} is longer"
            f" than the timeout {_seconds(route.timeout)}",
        )
    if route.pause_target is not None and route.pause_target > route.timeout:
        yield _contradiction(
            f"{field}.pause_target",
            f"pause target {_seconds(route.pause_target)} is longer"
            f" than the timeout {_seconds(route.timeout)}",
        )
    if route.max_attempts < 1:
        yield _contradiction(
            f"{field}.max_attempts",
            f"{route.max_attempts} attempts are fewer than the first one",
        )
    if route.max_attempts > 1 and not route.is_retryable:
        reason = (
            "a stream that is not resumable"
            if route.kind is _configuration.RetrySemantics.STREAM
            else "a request that may run only once"
        )
        yield _contradiction(
            f"{field}.max_attempts",
            f"{route.max_attempts} attempts are allowed, but {reason}"
            " is not retried",
        )


def _unreachable_services(
    configuration: _configuration.Configuration,
) -> _Findings:
    named = {
        target.service
        for route in configuration.routes
        for target in route.targets
    }
    last_position = {
        service.name: position
        for position, service in enumerate(configuration.services)
    }
    for position, service in enumerate(configuration.services):
        field = f"services[{position}].name"
        if last_position[service.name] != position:
            yield _never_matches(
                field, f"a later service is named {service.name!r} too"
            )
        elif service.name not in named:
            yield _never_matches(
                field, f"no route names service {service.name!r}"
            )


def _inspect_engine(
    engine: _configuration.EngineProfile, field: str
) -> _Findings:
    fitting = [
        accelerator.memory_megabytes >= engine.layer_megabytes
        for accelerator in engine.accelerators
    ]
    if not any(fitting):
        yield _contradiction(
            f"{field}.layer_megabytes",
            f"a layer of {engine.layer_megabytes:g} MB fits on no accelerator",
        )
    seen: set[str] = set()
    for position, accelerator in enumerate(engine.accelerators):
        item = f"{field}.accelerators[{position}]"
        if accelerator.name in seen:
            yield _never_matches(
                f"{item}.name",
                f"an earlier accelerator is named {accelerator.name!r} too",
            )
        elif any(fitting) and not fitting[position]:
            yield _contradiction(
                f"{item}.memory_megabytes",
                f"accelerator {accelerator.name!r} has"
                f" {accelerator.memory_megabytes:g} MB, and a layer takes"
                f" {engine.layer_megabytes:g} MB",
            )
        seen.add(accelerator.name)


def _inspect_limits(limits: _configuration.CallerLimits) -> _Findings:
    if limits.header_bytes <= 0:
        yield _contradiction(
            "limits.header_bytes",
            f"limit {limits.header_bytes} admits no request",
        )
    if limits.body_bytes < 0:
        yield _contradiction(
            "limits.body_bytes",
            f"limit {limits.body_bytes} admits no request",
        )
    for name, timeout in (
        ("header_timeout", limits.header_timeout),
        ("idle_timeout", limits.idle_timeout),
    ):
        if timeout <= _ZERO:
            yield _contradiction(
                f"limits.{name}", f"{_seconds(timeout)} is not positive"
            )


def _seconds(duration: datetime.timedelta) -> str:
    return f"{duration.total_seconds():g} s"
