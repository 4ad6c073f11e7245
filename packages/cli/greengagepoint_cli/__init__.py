"""The greengagepoint client for operators."""
