"""Connections for ``httpcore`` that check what it leaves unchecked.

A response must follow the rules of ``_response_heads``.  One that ends with
its connection needs a request that was received as a whole.
"""

from sedgepin._http_client._streams import CheckedAsyncBackend
from sedgepin._http_client._streams import CheckedAsyncStream
from sedgepin._http_client._streams import CheckedBackend

__all__ = ["CheckedAsyncBackend", "CheckedAsyncStream", "CheckedBackend"]
