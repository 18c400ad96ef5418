"""Validation of a configuration beyond its schema."""

import collections

from sedgepin._catalog import _configuration
from sedgepin import errors


def validate(
    configuration: _configuration.Configuration,
) -> tuple[errors.FieldFault, ...]:
    """Return all faults of a configuration; it is valid if there are none.

    Routes must name existing services, have a positive total weight and a
    positive timeout, and differ in host or path prefix.  No API key may
    belong to two customers.
    """
    faults: list[errors.FieldFault] = []
    services = {service.name for service in configuration.services}
    seen: set[tuple[str, str]] = set()
    for position, route in enumerate(configuration.routes):
        field = f"routes[{position}]"
        for index, target in enumerate(route.targets):
            if target.service not in services:
                problem = f"service {target.service!r} is not configured"
                path = f"{field}.targets[{index}].service"
                faults.append(errors.FieldFault(path, problem))
        if sum(target.weight for target in route.targets) <= 0:
            faults.append(
                errors.FieldFault(
                    f"{field}.targets",
                    "the sum of its target weights is not positive",
                )
            )
        if route.timeout.total_seconds() <= 0:
            faults.append(
                errors.FieldFault(
                    f"{field}.timeout",
                    f"timeout {route.timeout} is not positive",
                )
            )
        host_and_prefix = (route.host, route.path_prefix)
        if host_and_prefix in seen:
            problem = (
                f"another route has host {route.host!r}"
                f" and path prefix {route.path_prefix!r} too"
            )
            path = f"{field}.path_prefix"
            faults.append(errors.FieldFault(path, problem))
        seen.add(host_and_prefix)
    owner_counts = collections.Counter(
        key
        for customer in configuration.customers
        for key in set(customer.keys)
    )
    for position, customer in enumerate(configuration.customers):
        if any(owner_counts[key] > 1 for key in customer.keys):
            problem = "one of its API keys belongs to another customer too"
            field = f"customers[{position}].keys"
            faults.append(errors.FieldFault(field, problem))
    return tuple(faults)
