"""The greengagepoint daemon."""
