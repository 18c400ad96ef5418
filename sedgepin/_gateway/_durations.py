"""How likely a request is to end within a time."""

import dataclasses
import datetime

# As many requests of a similar size, by less than a factor of two, are enough
# to leave out the others.
_ENOUGH_SIMILAR = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Duration:
    """How long a request took, or has been open for so far.

    ``until_output`` is the time to the first output, and ``output`` that from
    there to the end; it is zero for an answer that is no stream.  ``tokens``
    is the expected size of the answer, 0 if unknown.  ``is_complete`` tells
    that the answer has ended, and did not only last so long at least.
    """

    until_output: datetime.timedelta
    output: datetime.timedelta
    tokens: float
    is_complete: bool

    def scale_seconds(self, tokens: float) -> float:
        """Return how long an answer of another size would have taken."""
        output_seconds = self.output.total_seconds()
        if self.tokens and tokens:
            output_seconds *= tokens / self.tokens
        return self.until_output.total_seconds() + output_seconds


def probability_of_end(
    known: list[Duration], tokens: float, time: datetime.timedelta
) -> float | None:
    """Return how likely a request ends within ``time``.

    This is the product-limit estimate (Kaplan and Meier, 1958): a request
    that is still open counts as one that lasts longer than its age, so that
    an estimate follows a service that has turned slow before its slow answers
    have ended.  Requests of a similar expected size are preferred, as callers
    may state sizes that are far off; the others are scaled.  Return ``None``
    if no complete answer is known.

    >>> second = datetime.timedelta(seconds=1)
    >>> none = datetime.timedelta()
    >>> answers = [Duration(second * n, none, 0, True) for n in (1, 2, 3, 4)]
    >>> probability_of_end(answers, 0, second * 3)
    0.75
    """
    similar = [
        one
        for one in known
        if tokens / 2 < one.tokens < tokens * 2 or tokens == one.tokens
    ]
    if sum(one.is_complete for one in similar) >= _ENOUGH_SIMILAR:
        known = similar
    if not any(one.is_complete for one in known):
        return None
    scaled = [
        (one.scale_seconds(tokens), not one.is_complete) for one in known
    ]
    seconds = time.total_seconds()
    # At the same time, an end comes before a request that was open then.
    ordered = sorted(one for one in scaled if one[0] <= seconds)
    lasts_longer = 1.0
    for index, (_duration, is_open) in enumerate(ordered):
        if not is_open:
            lasts_longer *= 1 - 1 / (len(known) - index)
    return 1 - lasts_longer
