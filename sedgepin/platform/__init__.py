"""The adapter to the users' platform: names, formats and calls.

It turns the platform's settings file, documents and headers into the types
of ``sedgepin._registrar`` and ``sedgepin._gateway`` and back, and decides
nothing.  ``python -m sedgepin.platform entry`` and ``control`` start the
daemons.  ``docs/decisions/platform.md`` tells which program serves what.
"""
