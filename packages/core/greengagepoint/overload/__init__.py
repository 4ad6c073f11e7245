"""Admit, queue, reject, retry and hedge requests under load."""
