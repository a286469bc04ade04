"""Entry process of buckthornpond."""
