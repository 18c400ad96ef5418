"""Identifiers, each of its own type."""

import typing

CustomerId = typing.NewType("CustomerId", str)
DataCentreId = typing.NewType("DataCentreId", str)
EndpointId = typing.NewType("EndpointId", str)
ModelName = typing.NewType("ModelName", str)
RequestId = typing.NewType("RequestId", str)
ServiceName = typing.NewType("ServiceName", str)
VmId = typing.NewType("VmId", str)

# Increases with each start of a process, so that messages of an earlier run of
# an endpoint or VM can be told from those of the current one.
Incarnation = typing.NewType("Incarnation", int)
