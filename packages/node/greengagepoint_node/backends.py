"""Keep the table of backend servers up to date and report what happens to them."""

from greengagepoint.balancing import rows, system
from greengagepoint.balancing.reports import (
    InvalidLoadError,
    parse_load,
    record_load_report,
)
from greengagepoint.balancing.tables import BackendRow, BackendTable
from greengagepoint.configuration import Configuration
from greengagepoint.events import Event
from greengagepoint_node.context import Context


class BackendKeeper:
    """Run the periodic systems over the backend servers."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.table = BackendTable()

    def sync(self, configuration: Configuration) -> None:
        """Take over which backend servers the records name and drain."""
        clock = self.context.clock
        rows.sync_rows(
            self.table, configuration, clock.monotonic(), clock.wall_milliseconds()
        )

    def tick(self, configuration: Configuration, now: float) -> None:
        """Run the systems and record what happened."""
        self.sync(configuration)
        for happened in system.run(self.table, now):
            self.context.events.record(
                happened.event,
                service=happened.service,
                site=happened.site,
                backend_server=happened.backend_server,
                detail=happened.detail,
            )

    def report_load(self, row: BackendRow, text: str | None, now: float) -> None:
        """Take in the load that an answer's header tells."""
        if text is None:
            return
        try:
            load = parse_load(text)
        except InvalidLoadError as error:
            self.context.events.record(
                Event.LOAD_REPORT_INVALID, backend_server=row.name, detail=str(error)
            )
            return
        record_load_report(row, load, now)
