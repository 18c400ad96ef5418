"""Release notes, in which operators publish changes to the fleet.

A note lists changes.  Each adds, changes or withdraws one item: a model, an
adapter, a version, a service or the role of endpoints.  Operators write notes
as JSON; the control VMs store and send them as MessagePack.

Example::

    {"number": 7, "note_id": "2026-10-03-a", "author": "amel",
     "title": "Second gate model",
     "changes": [
       {"change": "added",
        "item": {"type": "model", "name": "tare", "layer_count": 24,
                 "version": "v1", "adapters": ["bousalem"]}},
       {"change": "withdrawn",
        "item": {"type": "service", "name": "old-gate"}}]}
"""

import enum
import hashlib
import typing
import urllib.parse

import msgspec

from sedgepin import _model

MAX_NOTE_BYTES = 1024 * 1024
MAX_CHANGES = 2048

_NAME = msgspec.Meta(
    max_length=128, pattern=r"^[A-Za-z0-9][A-Za-z0-9._:/@-]*\Z"
)
_Name = typing.Annotated[str, _NAME]
_OptionalName = typing.Annotated[
    str, msgspec.Meta(max_length=128, pattern=r"^([A-Za-z0-9][^\s]*)?\Z")
]
_Text = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
_Path = typing.Annotated[str, msgspec.Meta(max_length=512, pattern=r"^/\S*\Z")]
_Method = typing.Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,16}\Z")]


class ServiceKind(enum.Enum):
    """Whether a service answers from a model or is a plain service."""

    MODEL = "model"
    PLAIN = "plain"


class ItemKey(msgspec.Struct, frozen=True, order=True):
    """The key of an item; ``model`` is set for adapters and versions."""

    type: str
    name: str
    model: str = ""

    def __str__(self) -> str:
        name = f"{self.model}/{self.name}" if self.model else self.name
        return f"{self.type} {name}"


class _Tagged(
    msgspec.Struct,
    frozen=True,
    tag_field="type",
    tag=str.lower,
    omit_defaults=True,
):
    """The base of items: tagged by type, without fields at their default.

    Defaults are not encoded, so that the digest of a note stays the same
    when a later release of Sedgepin adds a field.
    """


class Model(_Tagged, frozen=True):
    """A model: its number of layers, the version in force, its adapters.

    ``adapters`` is the whole list: changing a model withdraws the adapters
    that it does not name.
    """

    name: typing.Annotated[_model.ModelName, _NAME]
    layer_count: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)]
    version: _Name
    adapters: typing.Annotated[
        tuple[_Name, ...], msgspec.Meta(max_length=256)
    ] = ()

    @property
    def key(self) -> ItemKey:
        """Return the key of the item in the fleet."""
        return ItemKey("model", self.name)


class Adapter(_Tagged, frozen=True):
    """An adapter, loaded by every endpoint that holds its model."""

    model: typing.Annotated[_model.ModelName, _NAME]
    name: _Name
    weights: _OptionalName = ""

    @property
    def key(self) -> ItemKey:
        """Return the key of the item in the fleet."""
        return ItemKey("adapter", self.name, self.model)


class Version(_Tagged, frozen=True):
    """A version of a model's weights, in force only once a model names it."""

    model: typing.Annotated[_model.ModelName, _NAME]
    name: _Name
    weights: _OptionalName = ""

    @property
    def key(self) -> ItemKey:
        """Return the key of the item in the fleet."""
        return ItemKey("version", self.name, self.model)


class Service(_Tagged, frozen=True):
    """A service that customers call by name.

    A call is idempotent if its method is in ``idempotent_methods`` or its
    path equals or lies below one of ``idempotent_paths``; any other call is
    a write.  ``deadline_milliseconds`` applies to calls without a deadline
    of their own.
    """

    name: typing.Annotated[_model.ServiceName, _NAME]
    kind: ServiceKind
    model: typing.Annotated[_model.ModelName, _NAME] | None = None
    idempotent_methods: typing.Annotated[
        tuple[_Method, ...], msgspec.Meta(max_length=16)
    ] = ("GET", "HEAD", "OPTIONS")
    idempotent_paths: typing.Annotated[
        tuple[_Path, ...], msgspec.Meta(max_length=256)
    ] = ()
    deadline_milliseconds: typing.Annotated[
        int, msgspec.Meta(ge=1, le=86_400_000)
    ] = 30_000

    @property
    def key(self) -> ItemKey:
        """Return the key of the item in the fleet."""
        return ItemKey("service", self.name)

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call is idempotent.

        ``path`` may carry a query.  A path that contains ``..`` is a write
        whatever its prefix, because the service may resolve it to another
        path.
        """
        if method in self.idempotent_methods:
            return True
        path_only = path.partition("?")[0]
        if ".." in urllib.parse.unquote(path_only):
            return False
        prefixed = path_only.rstrip("/") + "/"
        return any(
            prefixed.startswith(allowed.rstrip("/") + "/")
            for allowed in self.idempotent_paths
        )


class Selector(msgspec.Struct, frozen=True, omit_defaults=True):
    """Selects the endpoints of a role: those that match every set field."""

    endpoint_id: typing.Annotated[_model.EndpointId, _NAME] | None = None
    data_centre: typing.Annotated[_model.DataCentreId, _NAME] | None = None
    accelerator: _Name | None = None
    layers: _model.LayerRange | None = None

    def matches(self, announcement: _model.Announcement) -> bool:
        """Return whether the selector includes an endpoint."""
        accelerator = announcement.accelerator
        accelerator_name = accelerator.name if accelerator else None
        return (
            self.endpoint_id in (None, announcement.endpoint_id)
            and self.data_centre in (None, announcement.data_centre)
            and self.accelerator in (None, accelerator_name)
            and self.layers in (None, announcement.layers)
        )

    @property
    def specificity(self) -> int:
        """Return the number of set fields; an endpoint's id counts most."""
        fields = (self.data_centre, self.accelerator, self.layers)
        field_count = sum(field is not None for field in fields)
        return field_count + 4 * (self.endpoint_id is not None)


class Role(_Tagged, frozen=True):
    """The role of the selected endpoints and the layers they hold.

    If several roles select an endpoint, the most specific selector applies,
    then the role whose name sorts first.  Without ``model`` the endpoints
    hold none; without ``layers``, all layers; without ``version``, the
    version in force.
    """

    name: _Name
    selector: Selector
    role: _Name = "serve"
    model: typing.Annotated[_model.ModelName, _NAME] | None = None
    layers: _model.LayerRange | None = None
    version: _OptionalName = ""

    @property
    def key(self) -> ItemKey:
        """Return the key of the item in the fleet."""
        return ItemKey("role", self.name)


class _WithdrawnItem(
    msgspec.Struct, frozen=True, tag_field="type", omit_defaults=True
):
    """The base of references to items to withdraw."""

    name: _Name


class WithdrawnModel(_WithdrawnItem, frozen=True, tag="model"):
    """A model to withdraw, with its versions and adapters."""

    @property
    def key(self) -> ItemKey:
        """Return the key of the item to withdraw."""
        return ItemKey("model", self.name)


class WithdrawnService(_WithdrawnItem, frozen=True, tag="service"):
    """A service to withdraw."""

    @property
    def key(self) -> ItemKey:
        """Return the key of the item to withdraw."""
        return ItemKey("service", self.name)


class WithdrawnRole(_WithdrawnItem, frozen=True, tag="role"):
    """A role to withdraw; its endpoints keep what they hold."""

    @property
    def key(self) -> ItemKey:
        """Return the key of the item to withdraw."""
        return ItemKey("role", self.name)


class WithdrawnAdapter(_WithdrawnItem, frozen=True, tag="adapter"):
    """An adapter to withdraw from a model."""

    model: _Name

    @property
    def key(self) -> ItemKey:
        """Return the key of the item to withdraw."""
        return ItemKey("adapter", self.name, self.model)


class WithdrawnVersion(_WithdrawnItem, frozen=True, tag="version"):
    """A version to withdraw from a model."""

    model: _Name

    @property
    def key(self) -> ItemKey:
        """Return the key of the item to withdraw."""
        return ItemKey("version", self.name, self.model)


Item = Model | Adapter | Version | Service | Role
WithdrawnItem = (
    WithdrawnModel
    | WithdrawnAdapter
    | WithdrawnVersion
    | WithdrawnService
    | WithdrawnRole
)


class Added(msgspec.Struct, frozen=True, tag_field="change", tag="added"):
    """Adds an item that is not in the fleet."""

    item: Item


class Changed(msgspec.Struct, frozen=True, tag_field="change", tag="changed"):
    """Replaces an item of the fleet as a whole."""

    item: Item


class Withdrawn(
    msgspec.Struct, frozen=True, tag_field="change", tag="withdrawn"
):
    """Removes an item from the fleet."""

    item: WithdrawnItem


Change = Added | Changed | Withdrawn


class ReleaseNote(msgspec.Struct, frozen=True, omit_defaults=True):
    """A numbered list of changes by one author.

    The number is that of the last accepted note plus one.  ``note_id`` is
    chosen by the author; sending a note again with the same id is safe.
    """

    number: typing.Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    note_id: _Name
    author: _Text
    title: _Text
    changes: typing.Annotated[
        tuple[Change, ...],
        msgspec.Meta(min_length=1, max_length=MAX_CHANGES),
    ]

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the note's encoded contents, in hex."""
        return hashlib.sha256(msgspec.msgpack.encode(self)).hexdigest()
