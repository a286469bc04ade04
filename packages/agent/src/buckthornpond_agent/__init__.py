"""Agent process of buckthornpond, which runs beside one target instance."""
