"""What requests may have in common."""

import enum

import msgspec


class TraitKind(str, enum.Enum):
    """Whether a trait is a whole request or a part of its prompt."""

    REQUEST = "request"
    PART = "part"


class Trait(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Something by which requests that crash endpoints may be alike."""

    kind: TraitKind
    value: str

    def __str__(self) -> str:
        return f"{self.kind.value}:{self.value}"


def request_trait(fingerprint: str) -> Trait:
    """Return the trait that a request shares with its repeats only.

    >>> str(request_trait("5f1c"))
    'request:5f1c'
    """
    return Trait(TraitKind.REQUEST, fingerprint)


def part_trait(part_id: str) -> Trait:
    """Return the trait of requests whose prompts contain a part.

    >>> str(part_trait("91bd3f06"))
    'part:91bd3f06'
    """
    return Trait(TraitKind.PART, part_id)
