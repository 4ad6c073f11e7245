"""What each team sent, counted once."""
