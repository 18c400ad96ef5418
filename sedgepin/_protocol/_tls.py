"""Mutual TLS between processes of the system.

Each process holds a certificate whose subject alternative name is its id,
signed by the certificate authority that is named in all settings.
"""

import ssl
import typing

from sedgepin import settings


def server_context(cfg: settings.Tls) -> ssl.SSLContext:
    """Return a context that requires a client certificate of the authority."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load(context, cfg)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(cfg: settings.Tls) -> ssl.SSLContext:
    """Return a context that verifies the dialled peer's id and certificate."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _load(context, cfg)
    return context


def subject_alternative_names(stream: ssl.SSLObject) -> tuple[str, ...]:
    """Return the subject alternative names of the peer's certificate."""
    certificate = stream.getpeercert() or {}
    names = typing.cast(
        tuple[tuple[str, str], ...], certificate.get("subjectAltName", ())
    )
    return tuple(value for _name_type, value in names)


def _load(context: ssl.SSLContext, cfg: settings.Tls) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(cfg.certificate, cfg.key)
    context.load_verify_locations(cfg.authority)
