"""Retries of all hosts together against one budget.

Half of a service's answers break. Every host sends again, and with ten of them the
service gets twice its load, which breaks the other half. A host that is killed and
starts again must not bring a full budget with it each time.
"""

import pytest

from greengagepoint.overload.shared_retries import SharedRetryBudget

RATIO, SLACK, WINDOW_SECONDS = 0.2, 64.0, 10
NOW = 0.0


def create_budget(hosts, started_at=-30.0):
    return SharedRetryBudget(RATIO, SLACK, hosts, WINDOW_SECONDS, started_at)


def run_second(fleet, now, firsts_a_second, shed):
    """Return first tries and repeats of one second, as many as the hosts allow."""
    firsts = sent = 0
    for row in fleet:
        for _ in range(firsts_a_second):
            row.deposit("booking", now)
            firsts += 1
            sent += row.withdraw("booking", now, shed=shed)
        while row.withdraw("booking", now, shed=shed):
            sent += 1
    return firsts, sent


@pytest.mark.parametrize("shed_seconds", [0, 1, 2, 7], ids=str)
@pytest.mark.parametrize(
    ("hosts", "firsts_a_second", "restarts"),
    [
        (12, 50, 0),
        (12, 0, 0),
        (12, 50, 1),
        (83, 10, 0),
        (1, 500, 0),
        (195, 5, 0),
        (195, 5, 1),
        (300, 4, 0),
    ],
    ids=[
        "steady",
        "no traffic",
        "all restart once",
        "many hosts",
        "one host",
        "195 hosts",
        "195 hosts restart once",
        "300 hosts",
    ],
)
@pytest.mark.parametrize("quiet_seconds", [0, 25], ids=["at once", "after a while"])
def test_in_any_window_all_hosts_stay_within_the_budget(
    hosts, firsts_a_second, restarts, shed_seconds, quiet_seconds
):
    # Everything fails for half a minute, from the start or after a time in which hosts
    # saved what they may; full servers and other failures come by turns.
    fleet = [create_budget(hosts) for _ in range(hosts)]
    seconds = []
    for second in range(quiet_seconds):
        for row in fleet:
            for _ in range(firsts_a_second):
                row.deposit("booking", float(second))
        seconds.append((hosts * firsts_a_second, 0))
    for second in range(quiet_seconds, quiet_seconds + 30):
        if restarts and second == quiet_seconds + WINDOW_SECONDS // 2:
            fleet = [create_budget(hosts, float(second)) for _ in range(hosts)]
        shed = shed_seconds > 0 and second % (shed_seconds + 1) > 0
        seconds.append(run_second(fleet, float(second), firsts_a_second, shed))
    for start in range(len(seconds) - WINDOW_SECONDS + 1):
        firsts, sent = map(
            sum, zip(*seconds[start : start + WINDOW_SECONDS], strict=True)
        )
        assert sent <= RATIO * firsts + SLACK, start


def test_many_hosts_send_again_what_a_lost_server_broke():
    # A fifth of the servers end in one moment, and each host has three requests there.
    # With 195 hosts each may save one token, so two of the three would fail, though
    # the budget of all hosts together is hardly touched.
    fleet = [SharedRetryBudget(RATIO, 430.0, 195) for _ in range(195)]
    for row in fleet:
        for second in range(20):
            for _ in range(5):
                row.deposit("booking", float(second))
    sent = sum(row.withdraw("booking", 20.0) for row in fleet for _ in range(3))
    assert sent == 3 * 195


def test_full_servers_get_no_burst_of_repeats():
    # Servers that turn requests away are most likely all full. A burst of repeats would
    # only keep them full.
    row = SharedRetryBudget(RATIO, 430.0, 195)
    for second in range(20):
        for _ in range(5):
            row.deposit("booking", float(second))
    assert [row.withdraw("booking", 20.0, shed=True) for _ in range(3)] == [
        True,
        False,
        False,
    ]


def test_where_no_host_may_save_a_token_first_tries_still_pay_for_repeats():
    # With 300 hosts the part of the slack is a third of a token, which would mean that
    # nothing is ever sent again.
    row = SharedRetryBudget(RATIO, 200.0, 300)
    for second in range(20):
        for _ in range(4):
            row.deposit("booking", float(second))
    assert row.withdraw("booking", 20.0)


def test_a_host_may_retry_a_part_of_what_it_sends():
    row = create_budget(12)
    for _ in range(100):
        row.deposit("booking", NOW)
    assert row.withdraw("booking", NOW)


def test_services_have_budgets_of_their_own():
    row = create_budget(12)
    while row.withdraw("booking", NOW):
        pass
    assert row.withdraw("records", NOW)


def test_the_most_urgent_requests_find_a_token_when_there_are_too_few_for_all():
    # Servers turn away half of what they get for seconds. Every request wants to be
    # sent again and a sixth of them can be; reservations are a quarter of them.
    row = create_budget(9)
    urgent = [0, 0]
    others = [0, 0]
    for number in range(2_000):
        row.deposit("booking", NOW)
        if number % 2:
            continue
        counts = urgent if number % 8 == 0 else others
        counts[0] += 1
        counts[1] += row.withdraw("booking", NOW, urgent=counts is urgent)
    assert urgent[1] > 0.95 * urgent[0], (urgent, others)
    assert urgent[1] + others[1] > 0.9 * 0.18 * 2_000, (urgent, others)


def test_all_requests_use_the_whole_budget_where_none_is_more_urgent():
    row = create_budget(1)
    while row.withdraw("booking", NOW):
        pass
    assert row.services["booking"].tokens < 1


@pytest.mark.parametrize("hosts", [1, 9, 30, 87])
def test_less_urgent_requests_find_a_token_however_many_hosts_there_are(hosts):
    # With 87 hosts each may save 1.2 tokens. Were half of them kept for urgent ones,
    # other requests would never be sent again.
    row = SharedRetryBudget(RATIO, 214.0, hosts)
    for _ in range(100):
        row.deposit("booking", NOW)
    assert row.withdraw("booking", NOW, urgent=False)
