"""Rank hosts by rendezvous hashing, under the name of an earlier import."""

from greengagepoint.rendezvous import rank as ranked

__all__ = ["ranked"]
