"""Retries of all hosts together against one budget.

Half of a service's answers break. Every host sends again, and with ten of them the
service gets twice its load, which breaks the other half. A host that is killed and
starts again must not bring a full budget with it each time.
"""

import pytest

from greengagepoint.overload.shared_retries import SharedRetryBudget

RATIO, SLACK, WINDOW_SECONDS = 0.2, 64.0, 10


def budget(hosts):
    return SharedRetryBudget(RATIO, SLACK, hosts)


@pytest.mark.parametrize(
    ("hosts", "firsts_a_second", "restarts"),
    [(12, 50, 0), (12, 0, 0), (12, 50, 1), (83, 10, 0), (1, 500, 0)],
    ids=["steady", "no traffic", "all restart once", "many hosts", "one host"],
)
def test_in_any_window_all_hosts_stay_within_the_budget(
    hosts, firsts_a_second, restarts
):
    fleet = [budget(hosts) for _ in range(hosts)]
    firsts = sent = 0
    for second in range(WINDOW_SECONDS):
        if restarts and second == WINDOW_SECONDS // 2:
            fleet = [budget(hosts) for _ in range(hosts)]
        for row in fleet:
            for _ in range(firsts_a_second):
                row.deposit("booking")
                firsts += 1
                sent += row.withdraw("booking")
            sent += sum(row.withdraw("booking") for _ in range(100))
    assert sent <= RATIO * firsts + SLACK


def test_a_host_may_retry_a_part_of_what_it_sends():
    row = budget(12)
    for _ in range(100):
        row.deposit("booking")
    assert row.withdraw("booking")


def test_services_have_budgets_of_their_own():
    row = budget(12)
    while row.withdraw("booking"):
        pass
    assert row.withdraw("records")
