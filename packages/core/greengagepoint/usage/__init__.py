"""What each team sent, counted once."""

from greengagepoint.usage.tables import UsageOutcome

__all__ = ["UsageOutcome"]
