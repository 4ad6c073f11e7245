"""The ordered log of configuration changes and how hosts share it."""
