"""Tell which keys this host sees, and learn where they belong."""

from collections.abc import Callable
from typing import Final

from greengagepoint.placing.key_balance import KeyBalance, KeyPlace
from greengagepoint.placing.seen_keys import SeenKeys
from greengagepoint_node.gateway.report_messages import MovesCursor
from greengagepoint_node.gateway.view import FleetView

MOVES_MAX: Final = 40_000
# Keys of other regions wait here until their ledger is told of them.
FORWARDED_MAX: Final = 5_000

TakeMoves = Callable[[list[KeyPlace]], None]


class KeyMoves:
    """The keys of this host, and of its region where it is the ledger.

    ``take_moves`` puts moves in force for this host's own choices.
    """

    def __init__(self, name: str, started: int, region: str, view: FleetView) -> None:
        self.name = name
        self.started = started
        self.region = region
        self.view = view
        self.seen = SeenKeys()
        self.balance = KeyBalance(region)
        self.moves: list[KeyPlace] = []
        self.forgotten = 0
        self.forwarded: dict[str, list[KeyPlace]] = {}
        self.cursor: MovesCursor | None = None
        self.take_moves: TakeMoves = lambda moves: None

    def see(self, rows: list[KeyPlace], now: float) -> None:
        """Take in where keys ran, as the ledger of their region or on the way there."""
        table = self.view.servers
        own: list[KeyPlace] = []
        for row in rows:
            server = table.servers.get(row.instance)
            if server is None:
                continue
            if server.region == self.region:
                own.append(row)
                continue
            waiting = self.forwarded.setdefault(server.region, [])
            if len(waiting) < FORWARDED_MAX:
                waiting.append(row)
        before = len(self.balance.moves)
        self.balance.see(own, table, now)
        if len(self.balance.moves) < before:
            before = 0
        self.learn(self.balance.moves[before:])

    def learn(self, moves: list[KeyPlace]) -> None:
        """Keep moves for the hosts that report here."""
        if len(self.moves) + len(moves) > MOVES_MAX:
            self.moves.clear()
            self.forgotten += 1
        self.moves += moves

    def since(self, cursor: MovesCursor | None) -> list[KeyPlace]:
        """Return the moves that a host at a cursor does not know."""
        known = self.end()
        if cursor is not None and cursor[:3] == known[:3]:
            return self.moves[cursor.index :]
        return list(self.moves)

    def end(self) -> MovesCursor:
        """Return the cursor of a host that knows all."""
        return MovesCursor(self.name, self.started, self.forgotten, len(self.moves))

    def take_answer(self, moves: list[KeyPlace], cursor: MovesCursor | None) -> None:
        """Put in force what a ledger told."""
        self.cursor = cursor
        if moves:
            self.take_moves(moves)

    def take_forwarded(self, region: str) -> list[KeyPlace]:
        """Return the keys that wait for a region's ledger."""
        return self.forwarded.pop(region, [])
