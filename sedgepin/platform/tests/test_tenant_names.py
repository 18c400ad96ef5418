"""Tests of tenants whose name or key no header field holds as it is."""

import trio

from sedgepin.platform.tests import running_system

_ROUTE: dict[str, object] = {
    "host": "one.example",
    "pathPrefix": "/private/",
    "kind": "idempotent",
    "timeoutMs": 4000,
    "service": "s",
}
# Each name, and what engines receive.
_NAMES = {
    "cooperative": b"cooperative",
    "caf\u00e9": b"caf\xe9",
    "\u00ccl\u1eb9\u0300": "\u00ccl\u1eb9\u0300".encode(),
    "two\nlines\x00": b"two%0Alines%00",
    " ends ": b"%20ends%20",
    "": b"",
}
_FOREIGN_KEY = "\u043a\u043b\u044e\u0447"


class TestTenantNames:
    """A name beyond Latin-1 once ended entry processes (review/4, LOST)."""

    async def test_each_tenant_is_served_beside_the_others(
        self, system: running_system.System, nursery: trio.Nursery
    ) -> None:
        engine = await running_system.start_system(system, nursery)
        tenants: list[dict[str, object]] = [
            {"name": name, "apiKeys": [f"key-{number}"]}
            for number, name in enumerate(_NAMES)
        ]
        tenants.append({"name": "foreign", "apiKeys": [_FOREIGN_KEY]})
        await running_system.publish([_ROUTE], tenants)
        callers = [running_system.Caller() for _ in range(4)]
        for caller in callers:
            nursery.start_soon(caller.run)
        keys = [b"key-%d" % number for number in range(len(_NAMES))]
        for key in [*keys, _FOREIGN_KEY.encode()]:
            status, _body = await running_system.send_raw(
                running_system.ENTRY,
                running_system.CALL_PORT,
                b"GET",
                b"/private/x",
                b"",
                ((b"Authorization", b"Token " + key),),
            )
            assert status == 200, key
        assert [tenant for tenant in engine.tenants if tenant is not None] == [
            *_NAMES.values(),
            b"foreign",
        ]
        assert system.processes["entry"].poll() is None
        assert {status for one in callers for status in one.statuses} == {200}
        nursery.cancel_scope.cancel()
