"""Routing decisions of an entry that reaches targets through agents.

=================== ==========================================================
module              what it decides
=================== ==========================================================
``router``          the handling of a request from arrival to completion
``held_requests``   state and indexes of the requests in flight
``dispatching``     which agent gets an attempt, and the backoff when none can
``placement``       policies that rank the candidate agents; homes of keys
``subsets``         which agents an entry keeps links to
``agent_directory`` state of the linked agents and due heartbeats
``heartbeats``      heartbeat interval and timeout within a byte budget
``responses``       whether a response arrives complete and in order
``failovers``       retry, query or refusal after an attempt fails or is lost
``retries``         retry rules and retry budget
``termination``     refusals to callers and cancellation of attempts
=================== ==========================================================
"""
