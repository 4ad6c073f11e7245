"""Which hosts may watch the store for the others."""

from typing import NamedTuple

import pytest

from greengagepoint.config.watchers import (
    TOLD_DIRECTLY_MAX,
    relays_of,
    well_linked,
)


class Host(NamedTuple):
    """A host with its link."""

    name: str
    link_mbps: float
    region: str = "r0"


@pytest.mark.parametrize(
    ("links", "chosen"),
    [
        ({"a": 5.0, "b": 100.0, "c": 5.0}, {"b"}),
        ({"a": 100.0, "b": 60.0, "c": 49.0}, {"a", "b"}),
        ({"a": 5.0, "b": 5.0}, {"a", "b"}),
        ({"a": 0.0, "b": 0.0}, {"a", "b"}),
        ({"a": 0.0, "b": 5.0}, {"b"}),
        ({}, set()),
    ],
    ids=["one large", "two alike", "small ones only", "not known", "one known", "none"],
)
def test_the_hosts_with_large_links_watch(links, chosen):
    # The watcher sends each change to its whole region. A host with a small link that
    # watched for twenty others was busy with one configuration for seconds.
    hosts = [Host(name, link) for name, link in links.items()]
    assert {host.name for host in well_linked(hosts)} == chosen


@pytest.mark.parametrize("count", [0, 1, 32, 33, 100, 400, 1600])
def test_each_host_is_told_once_and_no_host_tells_many(count):
    # A watcher that told each host of a large region itself was its busiest host by ten
    # times, as each change went out as often as the region has hosts.
    hosts = [Host(f"h-{number}", 10.0) for number in range(count)]
    relays = relays_of("r0", hosts)
    told = [*relays, *(name for members in relays.values() for name in members)]
    assert sorted(told) == sorted(host.name for host in hosts)
    most = max([len(relays), *map(len, relays.values())])
    assert most <= max(TOLD_DIRECTLY_MAX, 1.2 * count**0.5)


def test_hosts_with_small_links_pass_nothing_on():
    hosts = [Host(f"h-{number}", 200.0 if number < 3 else 5.0) for number in range(60)]
    assert set(relays_of("r0", hosts)) == {"h-0", "h-1", "h-2"}
