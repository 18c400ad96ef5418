"""Release notes: what operators publish to say what the fleet shall be.

A note lists changes.  Each adds, changes or withdraws one item: a model, an
adapter, a version, a service or the role of endpoints.  Operators write notes
as JSON; the control VMs keep and send them as MessagePack.

A small note::

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
    """What names an item in the fleet; ``model`` is empty where unused."""

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
    """The base of items: tagged by type, defaults left out.

    Defaults are left out so that the digest of a note stays the same when a
    later release adds a field.
    """


class Model(_Tagged, frozen=True):
    """A model: its layers, the version in force and its adapters.

    ``adapters`` is the whole list: changing a model drops those not named.
    """

    name: typing.Annotated[_model.ModelName, _NAME]
    layer_count: typing.Annotated[int, msgspec.Meta(ge=1, le=4096)]
    version: _Name
    adapters: typing.Annotated[
        tuple[_Name, ...], msgspec.Meta(max_length=256)
    ] = ()

    @property
    def key(self) -> ItemKey:
        """Return what names this item."""
        return ItemKey("model", self.name)


class Adapter(_Tagged, frozen=True):
    """An adapter that every endpoint of its model loads."""

    model: typing.Annotated[_model.ModelName, _NAME]
    name: _Name
    weights: _OptionalName = ""

    @property
    def key(self) -> ItemKey:
        """Return what names this item."""
        return ItemKey("adapter", self.name, self.model)


class Version(_Tagged, frozen=True):
    """A version of a model's weights, in force only once a model names it."""

    model: typing.Annotated[_model.ModelName, _NAME]
    name: _Name
    weights: _OptionalName = ""

    @property
    def key(self) -> ItemKey:
        """Return what names this item."""
        return ItemKey("version", self.name, self.model)


class Service(_Tagged, frozen=True):
    """What customers call by name.

    A call may repeat when its method is listed in ``idempotent_methods`` or
    its path is, or lies below, one of ``idempotent_paths``; any other is a
    write.
    ``deadline_milliseconds`` bounds the calls that name no deadline.
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
        """Return what names this item."""
        return ItemKey("service", self.name)

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a call is idempotent.

        ``path`` may carry a query.  A path that steps upwards is a write,
        wherever it seems to start: the service may resolve it.
        """
        if method in self.idempotent_methods:
            return True
        bare = path.partition("?")[0]
        if ".." in urllib.parse.unquote(bare):
            return False
        below = bare.rstrip("/") + "/"
        return any(
            below.startswith(allowed.rstrip("/") + "/")
            for allowed in self.idempotent_paths
        )


class Selector(msgspec.Struct, frozen=True, omit_defaults=True):
    """The endpoints that a role is for: those that match every field set."""

    endpoint_id: typing.Annotated[_model.EndpointId, _NAME] | None = None
    data_centre: typing.Annotated[_model.DataCentreId, _NAME] | None = None
    accelerator: _Name | None = None
    layers: _model.LayerRange | None = None

    def matches(self, announcement: _model.Announcement) -> bool:
        """Tell whether an endpoint is selected."""
        accelerator = announcement.accelerator
        kind = accelerator.name if accelerator else None
        return (
            self.endpoint_id in (None, announcement.endpoint_id)
            and self.data_centre in (None, announcement.data_centre)
            and self.accelerator in (None, kind)
            and self.layers in (None, announcement.layers)
        )

    @property
    def specificity(self) -> int:
        """Return how narrow the selector is: an endpoint's id above all."""
        fields = (self.data_centre, self.accelerator, self.layers)
        narrowed = sum(field is not None for field in fields)
        return narrowed + 4 * (self.endpoint_id is not None)


class Role(_Tagged, frozen=True):
    """What the selected endpoints do, and what they hold to do it.

    Of several roles that select one endpoint the most specific counts, then
    the one whose name sorts first.  Without a model the endpoints hold none;
    without layers they hold all; without a version, the one in force.
    """

    name: _Name
    selector: Selector
    role: _Name = "serve"
    model: typing.Annotated[_model.ModelName, _NAME] | None = None
    layers: _model.LayerRange | None = None
    version: _OptionalName = ""

    @property
    def key(self) -> ItemKey:
        """Return what names this item."""
        return ItemKey("role", self.name)


class _WithdrawnItem(
    msgspec.Struct, frozen=True, tag_field="type", omit_defaults=True
):
    """The base of what names an item to withdraw."""

    name: _Name


class WithdrawnModel(_WithdrawnItem, frozen=True, tag="model"):
    """A model, withdrawn with its versions and adapters."""

    @property
    def key(self) -> ItemKey:
        """Return what names the item."""
        return ItemKey("model", self.name)


class WithdrawnService(_WithdrawnItem, frozen=True, tag="service"):
    """A service to withdraw."""

    @property
    def key(self) -> ItemKey:
        """Return what names the item."""
        return ItemKey("service", self.name)


class WithdrawnRole(_WithdrawnItem, frozen=True, tag="role"):
    """A role to withdraw; its endpoints keep what they hold."""

    @property
    def key(self) -> ItemKey:
        """Return what names the item."""
        return ItemKey("role", self.name)


class WithdrawnAdapter(_WithdrawnItem, frozen=True, tag="adapter"):
    """An adapter to withdraw from a model."""

    model: _Name

    @property
    def key(self) -> ItemKey:
        """Return what names the item."""
        return ItemKey("adapter", self.name, self.model)


class WithdrawnVersion(_WithdrawnItem, frozen=True, tag="version"):
    """A version to withdraw from a model."""

    model: _Name

    @property
    def key(self) -> ItemKey:
        """Return what names the item."""
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
    """An item that the fleet did not have."""

    item: Item


class Changed(msgspec.Struct, frozen=True, tag_field="change", tag="changed"):
    """An item that the fleet has, replaced whole."""

    item: Item


class Withdrawn(
    msgspec.Struct, frozen=True, tag_field="change", tag="withdrawn"
):
    """An item that the fleet shall no longer have."""

    item: WithdrawnItem


Change = Added | Changed | Withdrawn


class ReleaseNote(msgspec.Struct, frozen=True, omit_defaults=True):
    """A numbered list of changes by one author.

    Numbers rise by one.  ``note_id`` is the author's own name for the note,
    kept when it is sent again.
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
