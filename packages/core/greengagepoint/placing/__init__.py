"""Choose the region and the backend server of a request."""
