"""Client accounts: who may ask, how much, and how sure a host is of it."""
