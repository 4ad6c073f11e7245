"""A configuration of thousands of routes, as operators write it."""

import random
import string

import msgspec

# The smallest link of a host, 5 Mbit/s.
SLOW_BYTES_PER_SECOND = 610_000
ROUTES = 4_200
HOST = "a.example"


def name(draw: random.Random) -> str:
    return "".join(draw.choices(string.ascii_lowercase + string.digits, k=7))


def rule(draw: random.Random) -> dict:
    return {
        "name": f"r-{name(draw)}",
        "kind": "unsafe",
        "targetLatencyS": 1.321,
        "priority": 1,
        "sticky": True,
        "match": {"pathPrefix": f"/{name(draw)}/"},
        "action": {
            "service": "booking",
            "timeoutS": 6,
            "maxAttempts": 2,
            "allowedRegions": [],
        },
    }


def configuration(version: int, routes: int = ROUTES) -> bytes:
    draw = random.Random(version)
    return msgspec.json.encode(
        {
            "version": f"r{version}",
            "listeners": [{"host": HOST, "rules": [rule(draw) for _ in range(routes)]}],
            "clusters": [{"name": "booking", "coldStartS": 3.0, "coldPerS": 5.0}],
        }
    )
