"""The rules for heads of responses that other parties send."""

from sedgepin._response_heads._rules import find_fault
from sedgepin._response_heads._rules import ResponseHead
from sedgepin._response_heads._scanner import HeadScanner

__all__ = ["HeadScanner", "ResponseHead", "find_fault"]
