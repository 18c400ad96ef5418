"""Which endpoints a VM uses for trials.

Rendezvous hashing (Thaler and Ravishankar, 1998) gives each endpoint to one
VM.  VMs that see the same members agree without a message, so that two of
them do not place two suspects on one endpoint at the same moment.
"""

import collections.abc
import hashlib

from sedgepin._admission import _rumour
from sedgepin import _model as model


def choose_trial_endpoints(
    fingerprint: _rumour.Fingerprint,
    vm_id: model.VmId,
    vm_ids: collections.abc.Collection[model.VmId],
    endpoint_ids: collections.abc.Collection[model.EndpointId],
    taken: collections.abc.Container[model.EndpointId],
) -> list[model.EndpointId]:
    """Return the endpoints free for a trial, best first.

    ``endpoint_ids`` are those that can hold the stage, and ``taken`` is
    ``Quarantine.trial_endpoints``.  A VM keeps to the endpoints that
    belong to it; only one to which none belongs takes any.
    """
    owned = [
        endpoint_id
        for endpoint_id in endpoint_ids
        if vm_id == max(vm_ids, key=lambda other: _score(other, endpoint_id))
    ]
    return sorted(
        (other for other in owned or endpoint_ids if other not in taken),
        key=lambda other: _score(fingerprint.body_digest, other),
    )


def _score(owner: str, endpoint_id: model.EndpointId) -> bytes:
    key = f"{owner}\0{endpoint_id}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
