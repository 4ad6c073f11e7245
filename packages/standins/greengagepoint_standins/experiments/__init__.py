"""Experiments: a whole deployment under load with one or more faults."""
