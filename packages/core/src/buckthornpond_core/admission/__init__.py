"""Admission control of an agent, which alone decides what its target holds.

==================== =======================================================
module               contents
==================== =======================================================
``admission``        course of an attempt from its arrival to its end
``checks``           whether an attempt is accepted
``held_attempts``    attempts that wait or run
``running_attempts`` messages to the entry of a running attempt
``refusals``         refusals and the outcome that each one proves
``queueing``         which attempt starts next
``priorities``       order of prefill at the engine
``fairness``         fair queueing between organisations
``limits``           token limit of the target and its reservations
``forecasts``        whether an attempt can finish before its deadline
``averages``         exponentially decaying averages
``readiness``        whether the target takes new work
``cold_detection``   detection of cold targets
``entries``          which entries are responsive
``attempt_outcomes`` outcomes of attempts that are no longer held
==================== =======================================================
"""
