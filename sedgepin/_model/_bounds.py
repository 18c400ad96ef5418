"""Bounds of what endpoints say of themselves, the same in every VM."""

# The largest number that each VM can send to another one.
MAX_NUMBER = 2**63 - 1
# No model has more layers.
MAX_LAYERS = 65_536
MAX_PORT = 65_535
