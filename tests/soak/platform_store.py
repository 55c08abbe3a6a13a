"""Stand-in of the platform's store: keys with revisions, leases, watches and conditional writes."""

import asyncio
import base64
import time

from aiohttp import web

PAGE_ITEMS = 500
EXPIRY_INTERVAL_S = 0.05


def drop_connection(request):
    """Aborts the connection of a request without sending a response."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


class PlatformStore:
    """Serves the store's protocol; the fields `fault`, `delay_s` and `lost_share` inject faults."""

    def __init__(self, random, history_s=20.0):
        self.random = random
        self.history_s = history_s
        self.items = {}  # key to item, as sent in responses
        self.leases = {}  # lease number to [expiry time, lifetime in seconds]
        self.events = []  # (time, event) pairs of the last history_s seconds
        self.oldest_revision = 0  # watches after an older revision are answered with 410
        self.revision = 1
        self.last_lease = 0
        self.changed = asyncio.Condition()
        self.fault = "none"  # none, busy (503), silent, reset
        self.delay_s = 0.0
        # Share of the POST calls (transactions, lease grants and renewals) that are executed but not answered.
        self.lost_share = 0.0
        self.expires_while_down = True  # whether leases expire while the store is down
        self.calls = 0

    async def start(self, host, port):
        app = web.Application(middlewares=[self.inject_faults])
        app.add_routes([web.get("/kv-range", self.range), web.get("/kv-watch", self.watch),
                        web.get("/kv-key", self.key), web.post("/kv-txn", self.transaction),
                        web.post("/kv-lease", self.grant), web.post("/kv-keep/{lease}", self.renew),
                        web.delete("/kv-lease-end/{lease}", self.end)])
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        self.expiry = asyncio.create_task(self.expire_leases())

    @web.middleware
    async def inject_faults(self, request, handler):
        self.calls += 1
        if self.fault == "busy":
            return web.json_response({"error": "busy"}, status=503)
        if self.fault == "reset":
            drop_connection(request)
        while self.fault == "silent":
            await asyncio.sleep(0.05)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        response = await handler(request)
        if request.method == "POST" and self.random.random() < self.lost_share:
            drop_connection(request)
        return response

    # Writes by the operator and injected faults of the state

    async def put(self, key, value, lease=0):
        self.write(key, value, lease)
        await self.notify_watches()

    async def remove(self, key):
        self.erase(key)
        await self.notify_watches()

    async def notify_watches(self):
        async with self.changed:
            self.changed.notify_all()

    def drop_history(self):
        """Drops the history. Open and later watches from before the current revision are answered with 410."""
        self.events.clear()
        self.oldest_revision = self.revision

    def delete_keys(self, prefix):
        """Deletes the keys with a prefix. Their leases stay valid, and open watches are not woken: they see the
        deletions when they next check for events, at most 0.5 s later.
        """
        for key in [key for key in self.items if key.startswith(prefix)]:
            self.erase(key)

    # State

    def write(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": created, "lease": lease}
        self.record(dict(self.items[key]))

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.record({"key": key, "revision": self.revision, "deleted": True})

    def record(self, event):
        now = time.monotonic()
        self.events.append((now, event))
        while self.events and now - self.events[0][0] > self.history_s:
            self.oldest_revision = self.events.pop(0)[1]["revision"]

    async def expire_leases(self):
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = time.monotonic()
            if self.fault != "none" and not self.expires_while_down:
                for lease in self.leases.values():
                    lease[0] += EXPIRY_INTERVAL_S
                continue
            for number in [n for n, lease in self.leases.items() if lease[0] <= now]:
                await self.end_lease(number)

    async def end_lease(self, number):
        del self.leases[number]
        for key in [k for k, item in self.items.items() if item["lease"] == number]:
            self.erase(key)
        await self.notify_watches()

    # Handlers of the HTTP calls

    async def range(self, request):
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return web.json_response({"items": [self.items[k] for k in keys[:PAGE_ITEMS]],
                                  "hasMore": len(keys) > PAGE_ITEMS, "currentRev": self.revision})

    async def key(self, request):
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({"currentRev": self.revision}, status=404)
        return web.json_response({**item, "currentRev": self.revision})

    async def watch(self, request):
        prefix, after = request.query["prefix"], int(request.query["after"])
        end = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            if after < self.oldest_revision:
                return web.json_response({"currentRev": self.revision}, status=410)
            found = [event for _, event in self.events
                     if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if found or left <= 0:
                return web.json_response({"events": found, "currentRev": self.revision})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
                except asyncio.TimeoutError:
                    pass

    async def transaction(self, request):
        body = await request.json()
        for write in body.get("writes", []):
            if write["key"].startswith(("op/", "servers/")):
                return web.json_response({"error": "forbidden"}, status=403)
            if write.get("lease", 0) and write["lease"] not in self.leases:
                return web.json_response({"error": "no such lease"}, status=404)
        for row in body.get("expect", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                items = [self.items[r["key"]] for r in body["expect"] if r["key"] in self.items]
                return web.json_response({"items": items}, status=412)
        for write in body.get("writes", []):
            self.write(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("remove", []):
            self.erase(key)
        await self.notify_watches()
        return web.json_response({"revision": self.revision})

    async def grant(self, request):
        lifetime = (await request.json())["ttlMs"] / 1000
        self.last_lease += 1
        self.leases[self.last_lease] = [time.monotonic() + lifetime, lifetime]
        return web.json_response({"lease": self.last_lease, "ttlMs": int(lifetime * 1000)})

    async def renew(self, request):
        lease = self.leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.json_response({"error": "no such lease"}, status=404)
        lease[0] = time.monotonic() + lease[1]
        return web.json_response({"ttlMs": int(lease[1] * 1000)})

    # Handles the call that ends a lease.
    async def end(self, request):
        number = int(request.match_info["lease"])
        if number not in self.leases:
            return web.json_response({"error": "no such lease"}, status=404)
        await self.end_lease(number)
        return web.json_response({})
