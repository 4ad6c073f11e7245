"""Enforce caps and region capacities by ledger shares and loans between hosts."""
