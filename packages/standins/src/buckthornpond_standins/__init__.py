"""Stand-ins of the platform and the targets; not part of the product."""
