"""Tell a lost link to all backend servers from failed servers, and pass work on."""
