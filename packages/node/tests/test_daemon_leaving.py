"""A leaving backend server, told of by each source, through real sockets."""

import pytest
from deployment import Deployment, async_deployment, async_until, document

from greengagepoint.protocols import ListedHost

LEAVING = "attiki-0"


async def async_by_record(deployment: Deployment) -> None:
    fields = {
        "target_kind": "backend_server",
        "target": LEAVING,
        "start_at": "2020-01-01T00:00:00+00:00",
    }
    await deployment.async_apply([document("drain", "leave", **fields)])


async def async_by_host_list(deployment: Deployment) -> None:
    listed = ListedHost(LEAVING, "", "", "", "", leaving=True)
    deployment.host_list.server.put(listed)


async def async_by_its_own_signal(deployment: Deployment) -> None:
    deployment.backends[LEAVING].leave()


@pytest.mark.parametrize(
    "async_tell", [async_by_record, async_by_host_list, async_by_its_own_signal]
)
async def test_a_leaving_server_gets_nothing_new(async_tell) -> None:
    """A backend server is about to leave, and one source says so.

    Hosts that hear of it send it nothing from then on, while callers are still
    answered by the others. A host without traffic hears of it from its peers.
    """
    async with async_deployment(hosts_a_region=2) as deployment:
        daemons = [d for n, d in deployment.daemons.items() if n.startswith("attiki")]
        for daemon in daemons:
            await deployment.async_request(daemon, "/s/booking/bays")
        await async_tell(deployment)

        def noticed_by_all() -> bool:
            rows = [
                row
                for daemon in daemons
                for row in daemon.backends.table.rows.values()
                if row.name == LEAVING
            ]
            return len(rows) == len(daemons) and all(row.leaving for row in rows)

        await async_until(noticed_by_all)
        before = len(deployment.backends[LEAVING].log.runs)
        for daemon in daemons * 5:
            answer = await deployment.async_request(daemon, "/s/booking/bays")
            assert answer.status == 200
        assert len(deployment.backends[LEAVING].log.runs) == before
