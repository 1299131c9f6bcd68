"""Router fleet that shares model and application capacity fairly."""
