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


def test_the_most_urgent_requests_find_a_token_when_there_are_too_few_for_all():
    # Servers turn away half of what they get for seconds. Every request wants to be
    # sent again and a sixth of them can be; reservations are a quarter of them.
    row = budget(9)
    urgent = [0, 0]
    others = [0, 0]
    for number in range(2_000):
        row.deposit("booking")
        if number % 2:
            continue
        counts = urgent if number % 8 == 0 else others
        counts[0] += 1
        counts[1] += row.withdraw("booking", urgent=counts is urgent)
    assert urgent[1] > 0.95 * urgent[0], (urgent, others)
    assert urgent[1] + others[1] > 0.9 * 0.18 * 2_000, (urgent, others)


def test_all_requests_use_the_whole_budget_where_none_is_more_urgent():
    row = budget(1)
    while row.withdraw("booking"):
        pass
    assert row.tokens["booking"] < 1


@pytest.mark.parametrize("hosts", [1, 9, 30, 87])
def test_less_urgent_requests_find_a_token_however_many_hosts_there_are(hosts):
    # With 87 hosts each may save 1.2 tokens. Were half of them kept for urgent ones,
    # other requests would never be sent again.
    row = SharedRetryBudget(RATIO, 214.0, hosts)
    for _ in range(100):
        row.deposit("booking")
    assert row.withdraw("booking", urgent=False)
