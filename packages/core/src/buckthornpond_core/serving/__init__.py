"""Decisions of entries that call targets directly.

======================= ======================================================
module                  responsibility
======================= ======================================================
``routes``              route and organisation of a request
``fleet``               known targets and whether they may be used
``source_contacts``     when the source is called, and what a failed call tells
``source_availability`` losses and outages of the source
``health``              failure rate and circuit breaker of a target
``budgets``             limits of retries and of requests to cold targets
``engine_load``         load of an engine, and the cost of a request there
``load_exchange``       load of other entries at the targets
``placement``           policies that choose the targets of an attempt
``fleet_follower``      changes that the source of the fleet reports
``dispatcher``          all decisions above for one entry
``events``              boundaries of the events of a stream
``exchange``            states of one request from its head to its answer
``memory_budgets``      who gives way when peers make an entry hold too much
``caller_places``       how many callers may connect, and who makes room
``request_identity``    what a request is known by when it comes again
``target_crashes``      lost targets, and the unanswered requests at each
``sound_parts``         parts of prompts and requests that were answered
``crash_evidence``      parts and requests that may have crashed targets
``quarantines``         one quarantine, and what others are told of it
``part_quarantine``     requests that are refused since they crash targets
======================= ======================================================
"""
