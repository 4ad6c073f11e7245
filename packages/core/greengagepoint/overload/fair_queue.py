"""Order waiting requests fairly between teams (start-time fair queueing)."""

import math

from greengagepoint.overload.tables import ClassQueue, TeamQueue, Ticket

WEIGHT_MIN = 0.01


def push(queue: ClassQueue, ticket: Ticket) -> None:
    """Append a request to its team's queue."""
    team = _get_team_queue(queue, ticket)
    team.tickets.append(ticket)
    queue.length += 1


def pop(queue: ClassQueue) -> Ticket | None:
    """Remove and return the next request, or None if the queue is empty.

    The next request is the first one of the team with the lowest virtual start.
    """
    if not queue.length:
        return None
    name, team = min(
        ((name, team) for name, team in queue.teams.items() if team.tickets),
        key=lambda item: (item[1].virtual_start, item[0]),
    )
    queue.virtual_time = team.virtual_start
    ticket = team.tickets.popleft()
    queue.length -= 1
    team.virtual_start += 1 / team.weight
    if not queue.length:
        # Fairness only matters while requests wait: usage from an earlier busy
        # period must not count against a team.
        queue.teams.clear()
        queue.virtual_time = 0.0
    return ticket


def count_ahead(queue: ClassQueue, ticket: Ticket) -> int:
    """Return how many waiting requests would be dequeued before a new one."""
    own = queue.teams.get(ticket.team)
    start = queue.virtual_time
    if own is not None:
        start = max(start, own.virtual_start)
        start += len(own.tickets) / own.weight
    count = 0
    for name, team in queue.teams.items():
        if name == ticket.team:
            count += len(team.tickets)
        elif team.virtual_start <= start:
            earlier = math.floor((start - team.virtual_start) * team.weight) + 1
            count += min(len(team.tickets), earlier)
    return count


def dequeue_order(queue: ClassQueue) -> list[Ticket]:
    """Return the waiting requests in the order in which they would be dequeued."""
    tagged = [
        (team.virtual_start + index / team.weight, name, index, ticket)
        for name, team in queue.teams.items()
        for index, ticket in enumerate(team.tickets)
    ]
    tagged.sort(key=lambda row: row[:3])
    return [row[3] for row in tagged]


def remove(queue: ClassQueue, ticket: Ticket) -> bool:
    """Remove a request from any position; return False if it isn't queued."""
    team = queue.teams.get(ticket.team)
    if team is None:
        return False
    try:
        team.tickets.remove(ticket)
    except ValueError:
        return False
    queue.length -= 1
    if not queue.length:
        queue.teams.clear()
        queue.virtual_time = 0.0
    return True


def _get_team_queue(queue: ClassQueue, ticket: Ticket) -> TeamQueue:
    """Return a team's queue; an idle team restarts at the current virtual time."""
    weight = max(WEIGHT_MIN, ticket.weight)
    team = queue.teams.get(ticket.team)
    if team is None:
        team = TeamQueue(weight=weight, virtual_start=queue.virtual_time)
        queue.teams[ticket.team] = team
    if not team.tickets:
        team.virtual_start = max(team.virtual_start, queue.virtual_time)
        team.weight = weight
    return team
