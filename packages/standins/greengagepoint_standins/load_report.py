"""Report a stand-in backend server's load, late and falsified as asked."""

from collections import deque
from typing import TypedDict

from greengagepoint_standins.backend_control import BackendControl
from greengagepoint_standins.slots import Slots


class Load(TypedDict):
    """What a backend server says about itself."""

    in_flight: int
    slots: int
    queued: int
    leaving: bool


class LoadReport:
    """Keep past loads for as long as the report lags."""

    def __init__(self, control: BackendControl, slots: Slots) -> None:
        self.control = control
        self.slots = slots
        self.past: deque[tuple[float, Load]] = deque()

    def sample(self, now: float) -> None:
        """Remember the load of now."""
        control = self.control
        load = Load(
            in_flight=round(self.slots.in_flight * control.load_factor),
            slots=control.slots,
            queued=round(self.slots.queued * control.load_factor),
            leaving=control.leaving,
        )
        self.past.append((now, load))
        until = now - control.load_lag_seconds
        while len(self.past) > 1 and self.past[1][0] <= until:
            self.past.popleft()

    def read(self, now: float) -> Load:
        """Return the newest load that is older than the lag."""
        self.sample(now)
        return self.past[0][1]
