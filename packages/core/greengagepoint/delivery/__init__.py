"""Decide what ran, what may be sent again, and how idempotency keys are kept."""
