"""Order waiting requests fairly between teams (start-time fair queueing)."""

import math

from greengagepoint.overload.tables import ClassQueue, TeamQueue, Ticket

WEIGHT_MIN = 0.01


def push(queue: ClassQueue, ticket: Ticket) -> None:
    """Add a request behind the others of its team."""
    team = _team(queue, ticket)
    team.tickets.append(ticket)
    queue.length += 1


def pop(queue: ClassQueue) -> Ticket | None:
    """Take the first request of the team with the smallest virtual start."""
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
        # With nobody waiting there is nothing to be fair about, and a team's
        # debt from an earlier busy period must not count against it.
        queue.teams.clear()
        queue.virtual_time = 0.0
    return ticket


def ahead(queue: ClassQueue, ticket: Ticket) -> int:
    """Return how many waiting requests would go before a new one."""
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


def in_order(queue: ClassQueue) -> list[Ticket]:
    """Return the waiting requests in the order in which they would leave."""
    tagged = [
        (team.virtual_start + index / team.weight, name, index, ticket)
        for name, team in queue.teams.items()
        for index, ticket in enumerate(team.tickets)
    ]
    tagged.sort(key=lambda row: row[:3])
    return [row[3] for row in tagged]


def remove(queue: ClassQueue, ticket: Ticket) -> bool:
    """Take a request out of the middle; tell whether it was there."""
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


def _team(queue: ClassQueue, ticket: Ticket) -> TeamQueue:
    """Return a team's row; one that comes back starts at the present time."""
    weight = max(WEIGHT_MIN, ticket.weight)
    team = queue.teams.get(ticket.team)
    if team is None:
        team = TeamQueue(weight=weight, virtual_start=queue.virtual_time)
        queue.teams[ticket.team] = team
    if not team.tickets:
        team.virtual_start = max(team.virtual_start, queue.virtual_time)
        team.weight = weight
    return team
