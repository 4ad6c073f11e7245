"""Retries of all hosts together stay within one budget.

Half of a service's responses fail. If all of ten hosts retried them, the service would
get twice its load, and the other half would fail as well. A host that is killed and
restarted must not get a full budget each time.
"""

import pytest

from greengagepoint.overload.shared_retries import SharedRetryBudget

RATIO, SLACK, WINDOW_SECONDS = 0.2, 64.0, 10
NOW = 0.0


def create_budget(hosts, started_at=-30.0):
    return SharedRetryBudget(RATIO, SLACK, hosts, WINDOW_SECONDS, started_at)


def run_second(fleet, now, first_attempts_per_second, shed):
    """Return the first attempts and the allowed retries of all hosts in one second."""
    firsts = sent = 0
    for host_budget in fleet:
        for _ in range(first_attempts_per_second):
            host_budget.deposit("booking", now)
            firsts += 1
            sent += host_budget.withdraw("booking", now, shed=shed)
        while host_budget.withdraw("booking", now, shed=shed):
            sent += 1
    return firsts, sent


@pytest.mark.parametrize("shed_seconds", [0, 1, 2, 7], ids=str)
@pytest.mark.parametrize(
    ("hosts", "first_attempts_per_second", "restarts"),
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
@pytest.mark.parametrize(
    "quiet_seconds", [0, 25], ids=["at once", "after a quiet period"]
)
def test_in_any_window_all_hosts_stay_within_the_budget(
    hosts, first_attempts_per_second, restarts, shed_seconds, quiet_seconds
):
    # Everything fails for half a minute, from the start or after a quiet period in
    # which hosts saved tokens. Overloaded servers and other failures alternate.
    fleet = [create_budget(hosts) for _ in range(hosts)]
    seconds = []
    for second in range(quiet_seconds):
        for host_budget in fleet:
            for _ in range(first_attempts_per_second):
                host_budget.deposit("booking", float(second))
        seconds.append((hosts * first_attempts_per_second, 0))
    for second in range(quiet_seconds, quiet_seconds + 30):
        if restarts and second == quiet_seconds + WINDOW_SECONDS // 2:
            fleet = [create_budget(hosts, float(second)) for _ in range(hosts)]
        shed = shed_seconds > 0 and second % (shed_seconds + 1) > 0
        seconds.append(
            run_second(fleet, float(second), first_attempts_per_second, shed)
        )
    for start in range(len(seconds) - WINDOW_SECONDS + 1):
        firsts, sent = map(
            sum, zip(*seconds[start : start + WINDOW_SECONDS], strict=True)
        )
        assert sent <= RATIO * firsts + SLACK, start


def test_many_hosts_retry_the_requests_of_crashed_servers():
    # A fifth of the servers crash at the same time, and each host has three requests
    # there. With 195 hosts each may save one token, so two of the three would fail,
    # although the budget of all hosts together is almost unused.
    fleet = [SharedRetryBudget(RATIO, 430.0, 195) for _ in range(195)]
    for host_budget in fleet:
        for second in range(20):
            for _ in range(5):
                host_budget.deposit("booking", float(second))
    sent = sum(
        host_budget.withdraw("booking", 20.0) for host_budget in fleet for _ in range(3)
    )
    assert sent == 3 * 195


def test_overloaded_servers_get_no_burst_of_retries():
    # If one server sheds requests, most likely all are overloaded. A burst of retries
    # would only keep them overloaded.
    host_budget = SharedRetryBudget(RATIO, 430.0, 195)
    for second in range(20):
        for _ in range(5):
            host_budget.deposit("booking", float(second))
    assert [host_budget.withdraw("booking", 20.0, shed=True) for _ in range(3)] == [
        True,
        False,
        False,
    ]


def test_first_attempts_pay_for_retries_if_no_host_may_save_a_token():
    # With 300 hosts the slack per host is a third of a token, which alone would never
    # allow a retry.
    host_budget = SharedRetryBudget(RATIO, 200.0, 300)
    for second in range(20):
        for _ in range(4):
            host_budget.deposit("booking", float(second))
    assert host_budget.withdraw("booking", 20.0)


def test_a_host_may_retry_a_fraction_of_its_requests():
    host_budget = create_budget(12)
    for _ in range(100):
        host_budget.deposit("booking", NOW)
    assert host_budget.withdraw("booking", NOW)


def test_each_service_has_its_own_budget():
    host_budget = create_budget(12)
    while host_budget.withdraw("booking", NOW):
        pass
    assert host_budget.withdraw("records", NOW)


def test_urgent_requests_get_a_token_when_tokens_are_scarce():
    # Servers shed half of their requests for seconds. All of these requests ask for a
    # retry, but only a sixth can get one; a quarter of them are reservations.
    host_budget = create_budget(9)
    urgent = [0, 0]
    others = [0, 0]
    for number in range(2_000):
        host_budget.deposit("booking", NOW)
        if number % 2:
            continue
        counts = urgent if number % 8 == 0 else others
        counts[0] += 1
        counts[1] += host_budget.withdraw("booking", NOW, urgent=counts is urgent)
    assert urgent[1] > 0.95 * urgent[0], (urgent, others)
    assert urgent[1] + others[1] > 0.9 * 0.18 * 2_000, (urgent, others)


def test_the_whole_budget_is_usable_if_all_requests_are_urgent():
    host_budget = create_budget(1)
    while host_budget.withdraw("booking", NOW):
        pass
    assert host_budget.services["booking"].tokens < 1


@pytest.mark.parametrize("hosts", [1, 9, 30, 87])
def test_less_urgent_requests_get_a_token_with_any_number_of_hosts(hosts):
    # With 87 hosts each may save 1.2 tokens. If half of them were reserved for urgent
    # requests, other requests would never be retried.
    host_budget = SharedRetryBudget(RATIO, 214.0, hosts)
    for _ in range(100):
        host_budget.deposit("booking", NOW)
    assert host_budget.withdraw("booking", NOW, urgent=False)
