"""The state machine replicated by Raft: the published configuration.

Its structs are stored in the log and in snapshots; their names and fields are
part of the storage format.
"""

import typing
import zlib

import msgspec

# zlib level.  Documents are repetitive text, of which the fastest level
# already removes most.
_COMPRESSION_LEVEL = 1


class PublishConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Command that publishes a configuration.

    It has no effect unless its version is the highest so far.  ``document`` is
    the published document, compressed.
    """

    version: int
    document: bytes


class ConfigurationLedger(msgspec.Struct):
    """The committed configuration with the highest version.

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
        """Return whether no configuration has been published yet."""
        return not self.document

    def apply(self, command: PublishConfiguration) -> bool:
        """Apply a command; return whether it changed the configuration."""
        if not self.is_empty and command.version <= self.version:
            return False
        self.version = command.version
        self.document = command.document
        return True

    def text(self) -> bytes:
        """Return the document as it was published, decompressed."""
        return zlib.decompress(self.document)

    def dump(self) -> bytes:
        """Encode the state for a snapshot."""
        return msgspec.msgpack.encode(self)

    @classmethod
    def load(cls, raw: bytes) -> "ConfigurationLedger":
        """Decode the state of a snapshot, as ``dump`` encoded it."""
        return msgspec.msgpack.decode(raw, type=cls)


def compress(document: bytes) -> bytes:
    """Compress a document for ``PublishConfiguration``."""
    return zlib.compress(document, _COMPRESSION_LEVEL)


def encode_command(command: PublishConfiguration) -> bytes:
    """Encode a command for the Raft log."""
    return _ENCODER.encode(command)


def decode_command(raw: bytes) -> PublishConfiguration:
    """Decode a command that ``encode_command`` returned."""
    return _DECODER.decode(raw)


_ENCODER: typing.Final = msgspec.msgpack.Encoder()
_DECODER: typing.Final = msgspec.msgpack.Decoder(PublishConfiguration)
