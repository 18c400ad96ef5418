"""What makes a configuration invalid."""

import collections

from sedgepin._catalog import _configuration
from sedgepin import errors


def validate(
    configuration: _configuration.Configuration,
) -> tuple[errors.FieldFault, ...]:
    """Return every fault that keeps a configuration from being accepted."""
    faults: list[errors.FieldFault] = []
    services = {one.name for one in configuration.services}
    places: set[tuple[str, str]] = set()
    for position, route in enumerate(configuration.routes):
        field = f"routes[{position}]"
        for target in route.targets:
            if target.service not in services:
                problem = f"names the unknown service {target.service!r}"
                faults.append(errors.FieldFault(field, problem))
        if sum(target.weight for target in route.targets) <= 0:
            faults.append(errors.FieldFault(field, "its weights add up to 0"))
        if route.timeout.total_seconds() <= 0:
            faults.append(errors.FieldFault(field, "its timeout is 0"))
        place = (route.host, route.path_prefix)
        if place in places:
            problem = "another route has its host and prefix"
            faults.append(errors.FieldFault(field, problem))
        places.add(place)
    holders = collections.Counter(
        key
        for customer in configuration.customers
        for key in set(customer.keys)
    )
    for position, customer in enumerate(configuration.customers):
        if any(holders[key] > 1 for key in customer.keys):
            problem = "another customer has one of its keys"
            field = f"customers[{position}]"
            faults.append(errors.FieldFault(field, problem))
    return tuple(faults)
