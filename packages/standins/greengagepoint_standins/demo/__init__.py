"""The demo: a whole deployment on one machine, loaded, drained and broken."""
