"""Client accounts: their keys and rate limits, and configuration freshness."""
