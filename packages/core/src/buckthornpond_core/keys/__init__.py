"""At-most-once execution of requests that carry an idempotency key.

================== =======================================================
module             content
================== =======================================================
``keyed_attempts`` handling of an attempt with a key at an agent
``claims``         claims, decisions, and the protocol of a home
``register``       records of the keys of one agent
``fencing_home``   decisions of a home, which fences earlier homes
``earlier_homes``  instances that may have run a key before
``key_clock``      creation time, deadline and expiry of a key
================== =======================================================
"""
