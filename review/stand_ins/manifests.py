"""The operator's manifest for one plain service."""

READ_PREFIX = "/accounts/"
WRITE_PREFIX = "/receipts/"
SERVICE = "grower-ledger"


def manifest(version: int, tenants: dict[str, list[str]]) -> dict[str, object]:
    """Return a manifest with a read route and a write route."""
    common = {
        "host": "office.example",
        "timeoutMs": 4000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "public": False,
        "stickySessions": False,
        "resumable": False,
    }
    return {
        "version": version,
        "routes": [
            {
                **common,
                "name": "account-read",
                "pathPrefix": READ_PREFIX,
                "kind": "idempotent",
            },
            {
                **common,
                "name": "receipt-post",
                "pathPrefix": WRITE_PREFIX,
                "kind": "non_idempotent",
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConnections": 100,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": name, "apiKeys": keys, "priority": 1}
            for name, keys in tenants.items()
        ],
    }
