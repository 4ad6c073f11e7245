"""Admit, queue, refuse, retry and hedge requests under load."""
