"""Coordinators: each joins one matter of core to sockets, store and peers."""
