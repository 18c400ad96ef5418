"""HTTP/1.1 client and server over trio with the parser of ``h11``.

For a request that must not run twice the router has to know whether any byte
was sent, whether the answer is complete, and that its connection carries no
other bytes.  Client libraries don't report these, hence this thin layer over
the parser that ``httpcore`` and ``hypercorn`` are built on.
"""

from sedgepin._web._calls import send_request
from sedgepin._web._client import ClientConnection
from sedgepin._web._connection import AnswerConnection
from sedgepin._web._exchange import Exchange
from sedgepin._web._exchange import Handler
from sedgepin._web._failures import AnswerBroken
from sedgepin._web._failures import BodyTooLarge
from sedgepin._web._failures import ConnectFailed
from sedgepin._web._failures import HandlerFailed
from sedgepin._web._failures import HeadTooLarge
from sedgepin._web._failures import MethodUnsupported
from sedgepin._web._failures import RequestTooFragmented
from sedgepin._web._failures import RequestTooSlow
from sedgepin._web._failures import RequestUnreadable
from sedgepin._web._field_values import encode_field_value
from sedgepin._web._metrics import MetricsHandler
from sedgepin._web._part_timer import PartTimer
from sedgepin._web._request_ends import Closer
from sedgepin._web._request_ends import EndKind
from sedgepin._web._request_ends import RequestEnd
from sedgepin._web._server import Server
from sedgepin._web._types import AnswerHead
from sedgepin._web._types import end_to_end_headers
from sedgepin._web._types import find_header
from sedgepin._web._types import Headers
from sedgepin._web._types import Request
from sedgepin._web._types import ServerLimits

__all__ = [
    "AnswerBroken",
    "AnswerConnection",
    "AnswerHead",
    "BodyTooLarge",
    "ClientConnection",
    "Closer",
    "ConnectFailed",
    "EndKind",
    "Exchange",
    "Handler",
    "HandlerFailed",
    "HeadTooLarge",
    "Headers",
    "MethodUnsupported",
    "MetricsHandler",
    "PartTimer",
    "Request",
    "RequestEnd",
    "RequestTooFragmented",
    "RequestTooSlow",
    "RequestUnreadable",
    "Server",
    "ServerLimits",
    "encode_field_value",
    "end_to_end_headers",
    "find_header",
    "send_request",
]
