"""Stand-ins of review 3: store, servers, clients and entry processes.

Only the standard library is used, and only loopback addresses. The stand-ins
follow the users' pages; where a page is silent they behave as a sound peer.
"""
