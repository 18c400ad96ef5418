"""Effects that several tests of an entry VM's shell carry out."""

from sedgepin._entry import _effects
from sedgepin import _model as model


def make_stream(
    address: str = "http://127.0.0.1:1", endpoint_id: str = "e"
) -> _effects.StartStream:
    """Return the start of an attempt on an engine that holds one layer."""
    stage = model.Stage(
        model.EndpointId(endpoint_id), address, model.LayerRange(0, 1)
    )
    return _effects.StartStream(
        model.RequestId("r1"),
        1,
        model.Pipeline((stage,)),
        model.ModelName("m"),
        "1",
        "prompt",
        (),
        0,
        8,
        0,
    )
