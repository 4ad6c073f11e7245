"""Which hosts may watch the store for the others."""

from typing import NamedTuple

import pytest

from greengagepoint.config.watchers import well_linked


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
