"""Choose the backend server of a site for each request."""
