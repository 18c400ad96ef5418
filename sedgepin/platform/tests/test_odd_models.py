"""Tests of configurations with odd figures that all VMs must live with."""

import json
import typing

import hypothesis
from hypothesis import strategies
import trio

from sedgepin import _catalog as catalog
from sedgepin._gateway.tests import parts
from sedgepin import _model as model
from sedgepin import _placement as placement
from sedgepin import _protocol as protocol
from sedgepin.platform import _configuration
from sedgepin.platform.tests import running_system

_ENGINE: dict[str, typing.Any] = {
    "slots": 96,
    "layers": 4,
    "layerMb": 1750.0,
    "kvTokenBytes": 1_180_000,
    "step_ms": 1.02,
    "per_seq_ms": 0.009,
    "context_per_k": 0.01,
    "read_per_s": 164_000.0,
    "activationBytes": 59_000,
    "loads_at_once": 6,
    "report_lag_ms": 200.0,
}
_KIND: dict[str, typing.Any] = {
    "name": "fast",
    "mb": 72_000.0,
    "pace": 2.4,
    "readX": 3.2,
}
_USUAL: dict[str, typing.Any] = {"prompt": 775, "answer": 220}
_ODD = strategies.sampled_from((0, 0.0, -1, 1, 1e-300, 1e12, 1e300, 1.7e308))
_WEIGHTS = strategies.sampled_from((0, 1, 1e-320, 1e300, 1.7e308))


def _changes(
    fields: dict[str, typing.Any],
) -> strategies.SearchStrategy[dict[str, typing.Any]]:
    return strategies.dictionaries(
        strategies.sampled_from(tuple(fields)), _ODD, max_size=3
    )


def _without_layers() -> dict[str, typing.Any]:
    engine = {key: _ENGINE[key] for key in _ENGINE if key != "layers"}
    return {**engine, "kinds": [_KIND], "usual": _USUAL}


def _document(
    engine: dict[str, typing.Any], weights: tuple[float, float] = (1, 1)
) -> dict[str, typing.Any]:
    return {
        "version": 2,
        "routes": [
            {
                "host": "one.example",
                "pathPrefix": "/draft/",
                "kind": "streaming",
                "timeoutMs": 4000,
                "targetLatencyMs": 500,
                "public": True,
                "maxAttempts": 2,
                "trafficSplit": [
                    {"service": "model", "weight": weights[0]},
                    {"service": "ledger", "weight": weights[1]},
                ],
            }
        ],
        "services": [{"name": "model", "engine": engine}, {"name": "ledger"}],
    }


class TestAcceptedFigures:
    """Whatever is accepted can be planned and served by."""

    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        _changes({**_ENGINE}),
        _changes({key: _KIND[key] for key in _KIND if key != "name"}),
        _changes(_USUAL),
        strategies.tuples(_WEIGHTS, _WEIGHTS),
    )
    def test_model_is_planned_and_requests_end(
        self,
        engine: dict[str, typing.Any],
        kind: dict[str, typing.Any],
        usual: dict[str, typing.Any],
        weights: tuple[float, float],
    ) -> None:
        profile = {
            **_ENGINE,
            **engine,
            "kinds": [{**_KIND, **kind}],
            "usual": {**_USUAL, **usual},
        }
        raw = json.dumps(_document(profile, weights)).encode()
        parsed = _configuration.parse(raw)
        if parsed.is_err():
            return
        configuration = parsed.unwrap()
        self._plan(configuration)
        gateway = parts.Gateway()
        gateway.receive(
            protocol.ConfigurationPublished(
                2, True, catalog.encode(configuration)
            )
        )
        for _request in range(4):
            _exchange_id, effects = gateway.send_request("/draft/x")
            assert effects
            gateway.advance(50)

    def _plan(self, configuration: catalog.Configuration) -> None:
        for service in configuration.services:
            if service.engine is None:
                continue
            accelerator = service.engine.accelerator("fast")
            assert accelerator is not None
            engines = [
                placement.Engine(
                    model.EndpointId(f"e{number}"),
                    parts.HOME,
                    accelerator,
                    layers,
                )
                for number, layers in enumerate(
                    (None, None, parts.LOW, parts.HIGH)
                )
            ]
            placement.plan(engines, service.engine)


class TestModelWithoutLayers:
    async def test_programs_serve_on_under_it(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        await running_system.start_system(system, nursery)
        check_in = running_system.check_in(running_system.ENGINE)
        nursery.start_soon(
            running_system.renew_registration,
            {**check_in, "kind": "fast", "sequence": 1, "born": 2},
        )
        services = [{"name": "s", "engine": _without_layers()}]
        await running_system.poll_until(
            200,
            running_system.CONTROL,
            running_system.CALL_PORT,
            b"PUT",
            b"/v1/config",
            body={
                **running_system.CONFIGURATION,
                "version": 2,
                "services": services,
            },
        )
        await trio.sleep(4.0)
        polls = {
            role: process.poll() for role, process in system.processes.items()
        }
        assert polls == {"control": None, "entry": None}
        status, _body = await running_system.send(
            running_system.ENTRY,
            running_system.CALL_PORT,
            b"POST",
            b"/post/x",
        )
        assert status == 200
