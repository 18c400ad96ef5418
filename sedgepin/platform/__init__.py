"""Adapter to the users' platform: its settings, documents and headers.

It converts the platform's settings file, JSON documents and HTTP headers to
the types of ``sedgepin._registrar`` and ``sedgepin._gateway`` and back, and
makes no decisions.  ``python -m sedgepin.platform entry`` and ``control``
start the daemons.  ``docs/decisions/platform.md`` lists which program serves
which interface.
"""
