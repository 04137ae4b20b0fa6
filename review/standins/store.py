"""Stands in for the platform's metadata store, as PROTOCOL.md describes it."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from http11 import Server

ANSWER_S = 0.004
HISTORY_S = 20.0
PAGE_ITEMS = 500


class Store:
    def __init__(self, record):
        self.record = record
        self.items = {}      # key to {"value", "revision", "created", "lease"}
        self.events = []     # (time, event)
        self.revision = 100
        self.forgotten = 100  # changes up to this revision are no longer known
        self.leases = {}     # id to [ttl in s, until]
        self.last_lease = 0
        self.changed = asyncio.Event()
        self.slow_factor = 1.0
        self.loses = None    # tells for a write whether its answer is lost
        self.server = Server(self.serve)
        self.ticker = None

    async def start(self):
        await self.server.listen()
        self.ticker = asyncio.ensure_future(self._expire())
        return self.server.port

    def stop(self):
        self.ticker.cancel()

    # Changes.

    def _change(self, key, value, lease=0):
        if value is None:
            if self.items.pop(key, None) is None:
                return
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            old = self.items.get(key)
            item = {"key": key, "value": value, "revision": self.revision,
                    "created": old["created"] if old else self.revision, "lease": lease}
            self.items[key] = item
            event = dict(item)
        self.events.append((time.monotonic(), event))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes an object (or None) for the operator or a runner."""
        self.revision += 1
        text = None if value is None else base64.b64encode(
            value if isinstance(value, bytes) else json.dumps(value).encode()).decode()
        self._change(key, text)
        self._wake()

    def value_of(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def _expire(self):
        while True:
            now = time.monotonic()
            for number, (_, until) in list(self.leases.items()):
                if until <= now:
                    self._end_lease(number)
            while self.events and self.events[0][0] < now - HISTORY_S:
                self.forgotten = self.events.pop(0)[1]["revision"]
            await asyncio.sleep(0.01)

    def _end_lease(self, number):
        if self.leases.pop(number, None) is None:
            return False
        keys = [k for k, i in self.items.items() if i["lease"] == number]
        if keys:
            self.revision += 1
            for key in keys:
                self._change(key, None)
            self._wake()
        return True

    # Calls.

    async def serve(self, request):
        answer = await self._answer(request)
        if (self.loses and request.path == "/api/kv-txn" and answer[0] == 200
                and self.loses(request.json())):
            return None
        await asyncio.sleep(ANSWER_S * self.slow_factor)
        return answer

    async def _answer(self, request):
        path, query = request.path, parse_qs(request.query)
        if path == "/api/kv-key":
            item = self.items.get(query["key"][0])
            return (200, dict(item, storeRevision=self.revision)) if item else (
                404, {"storeRevision": self.revision})
        if path == "/api/kv-range":
            return self._range(query)
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._txn(request.json())
        if path == "/api/kv-lease":
            ttl = max(1000, min(600000, request.json()["ttlMs"]))
            self.last_lease += 1
            self.leases[self.last_lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        number = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if path.startswith("/api/kv-keep/"):
            lease = self.leases.get(number)
            if not lease:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"lease": number, "ttlMs": int(lease[0] * 1000)}
        if path.startswith("/api/kv-lease-end/"):
            return (200, {}) if self._end_lease(number) else (404, {})
        return 404, {}

    def _range(self, query):
        prefix, after = query["prefix"][0], query.get("after", [""])[0]
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[k] for k in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "hasMore": len(keys) > PAGE_ITEMS,
                     "storeRevision": self.revision}

    async def _watch(self, query):
        prefix, after = query["prefix"][0], int(query["after"][0])
        until = time.monotonic() + int(query.get("waitMs", ["0"])[0]) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            events = [e for _, e in self.events
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _txn(self, body):
        conditions = body.get("precondition", [])
        writes = body.get("writes", [])
        for row in writes:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        now = {c["key"]: self.items.get(c["key"]) for c in conditions}
        if any((now[c["key"]]["revision"] if now[c["key"]] else 0) != c["revision"]
               for c in conditions):
            return 412, {"items": [i for i in now.values() if i]}
        self.revision += 1
        for row in writes:
            self._change(row["key"], row["value"], row.get("lease", 0))
        for key in body.get("deletes", []):
            self._change(key, None)
        self._wake()
        return 200, {"revision": self.revision}
