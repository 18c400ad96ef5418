"""The HTTP server that the APIs of both daemons are built on."""

from sedgepin._http._failures import BodyTooLarge
from sedgepin._http._failures import BodyTooSlow
from sedgepin._http._failures import CallerGone
from sedgepin._http._failures import CredentialRefused
from sedgepin._http._failures import HeadersTooLarge
from sedgepin._http._failures import NotFound
from sedgepin._http._failures import RequestNotUnderstood
from sedgepin._http._failures import RequestReleased
from sedgepin._http._holder import RequestHolder
from sedgepin._http._messages import bearer_digest
from sedgepin._http._messages import HeaderField
from sedgepin._http._messages import problem_document
from sedgepin._http._messages import read_body
from sedgepin._http._messages import Receive
from sedgepin._http._messages import Request
from sedgepin._http._messages import Send
from sedgepin._http._messages import send_document
from sedgepin._http._messages import send_problem
from sedgepin._http._messages import send_response
from sedgepin._http._server import HttpServer

__all__ = [
    "BodyTooLarge",
    "BodyTooSlow",
    "CallerGone",
    "CredentialRefused",
    "HeaderField",
    "HeadersTooLarge",
    "HttpServer",
    "NotFound",
    "Receive",
    "Request",
    "RequestHolder",
    "RequestNotUnderstood",
    "RequestReleased",
    "Send",
    "bearer_digest",
    "problem_document",
    "read_body",
    "send_document",
    "send_problem",
    "send_response",
]
