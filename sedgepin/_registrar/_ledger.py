"""The replicated state: the configuration in force."""

import typing
import zlib

import msgspec

# Documents are text that repeats itself; the fastest level gains the most.
_COMPRESSION_LEVEL = 1


class PublishConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Put a configuration in force, if its version is the highest.

    ``document`` is the published text, compressed.
    """

    version: int
    document: bytes


class ConfigurationLedger(msgspec.Struct):
    """The configuration with the highest version that was committed.

    >>> ledger = ConfigurationLedger()
    >>> ledger.apply(PublishConfiguration(3, compress(b"{}")))
    True
    >>> ledger.apply(PublishConfiguration(2, compress(b"{}")))
    False
    """

    version: int = 0
    document: bytes = b""

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing was published yet."""
        return not self.document

    def apply(self, command: PublishConfiguration) -> bool:
        """Apply a command; return whether it changed anything."""
        if not self.is_empty and command.version <= self.version:
            return False
        self.version = command.version
        self.document = command.document
        return True

    def text(self) -> bytes:
        """Return the document as it was published."""
        return zlib.decompress(self.document)

    def dump(self) -> bytes:
        """Return the state for a snapshot."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def load(cls, raw: bytes) -> "ConfigurationLedger":
        """Return the state of a snapshot."""
        return msgspec.msgpack.decode(raw, type=cls)


def compress(document: bytes) -> bytes:
    """Return a document as the ledger keeps it."""
    return zlib.compress(document, _COMPRESSION_LEVEL)


def encode_command(command: PublishConfiguration) -> bytes:
    """Return a command as the log keeps it."""
    return _ENCODER.encode(command)


def decode_command(raw: bytes) -> PublishConfiguration:
    """Return the command that ``encode_command`` wrote."""
    return _DECODER.decode(raw)


_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(PublishConfiguration)
