"""Names that tell one thing from another, each its own type."""

import typing

CustomerId = typing.NewType("CustomerId", str)
DataCentreId = typing.NewType("DataCentreId", str)
EndpointId = typing.NewType("EndpointId", str)
ModelName = typing.NewType("ModelName", str)
RequestId = typing.NewType("RequestId", str)
ServiceName = typing.NewType("ServiceName", str)
VmId = typing.NewType("VmId", str)

# A number that rises with each start of the process it belongs to, so that
# two lives of one endpoint or VM are never mistaken for each other.
Incarnation = typing.NewType("Incarnation", int)
