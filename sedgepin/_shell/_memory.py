"""The bound for what a daemon holds for others, logged and counted."""

from sedgepin import _memory as memory
from sedgepin._shell import _metrics
from sedgepin import events
from sedgepin import logs


def create_budget(
    limit_bytes: int | None, sink: _metrics.MetricSink
) -> memory.MemoryBudget:
    """Return a budget whose evictions are logged and counted.

    Without a limit it is the default share of the VM's memory.
    """

    def record(eviction: memory.Eviction) -> None:
        line = events.HOLDER_ENDED.line(
            kind=eviction.kind.value,
            sender=eviction.sender,
            held_bytes=eviction.held_bytes,
            total_bytes=eviction.total_bytes,
        )
        logs.write(line)
        sink.increment(line.definition.name, 1)

    if limit_bytes is None:
        limit_bytes = memory.default_held_bytes()
    return memory.MemoryBudget(limit_bytes, record)
