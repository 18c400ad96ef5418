"""Assigns endpoints to VMs for isolated trials.

Rendezvous hashing (Thaler and Ravishankar, 1998) assigns each endpoint to one
VM.  VMs with the same membership view agree without communication, so two of
them do not place two suspects on one endpoint at the same time.
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
    in_use: collections.abc.Container[model.EndpointId],
) -> list[model.EndpointId]:
    """Return the endpoints free for a trial, in order of preference.

    ``endpoint_ids`` are the endpoints that can run the stage, and ``in_use``
    is ``Quarantine.trial_endpoints``.  A VM chooses among the endpoints
    assigned to it, or among all if none is assigned to it.
    """
    owned = [
        endpoint_id
        for endpoint_id in endpoint_ids
        if vm_id
        == max(
            vm_ids, key=lambda owner: _rendezvous_weight(owner, endpoint_id)
        )
    ]
    return sorted(
        (
            endpoint_id
            for endpoint_id in owned or endpoint_ids
            if endpoint_id not in in_use
        ),
        key=lambda endpoint_id: _rendezvous_weight(
            fingerprint.body_digest, endpoint_id
        ),
    )


def _rendezvous_weight(key: str, endpoint_id: model.EndpointId) -> bytes:
    text = f"{key}\0{endpoint_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
