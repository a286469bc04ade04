"""Numbers of the log events, which docs/EVENTS.md describes."""

from enum import IntEnum


class EventCode(IntEnum):
    """Log events of all processes, each with a stable number."""

    process_started = 101
    task_crashed = 102
    stop_begun = 103
    process_stopped = 104
    stop_cut_short = 105
    task_not_ended = 106
    stop_notice_ended = 107
    link_opened = 201
    agent_silent = 202
    malformed_agent_message = 203
    request_crashed = 204
    target_call_failed = 301
    entry_silent = 302
    malformed_entry_message = 303
    target_cold = 310
    orders_suspended = 311
    order_given = 312
    order_failed = 313
    configuration_accepted = 401
    configuration_rejected = 402
    configuration_conflict = 403
    startup_hold_ended = 404
    configuration_unreachable = 501
    instance_list_unreachable = 502
    request_answered = 601
    request_refused = 602
    request_cut = 603
    request_left = 604
    attempt_placed = 605
    caller_rejected = 606
    memory_reserved = 607
    reservation_failed = 608
    target_connection_lost = 609
    memory_released = 610
    target_found = 611
    target_draining = 612
    target_removed = 613
    target_paused = 614
    zone_evacuated = 615
    zone_returned = 616
    fleet_read = 617
    idle_input_received = 618
    stale_response_skipped = 619
    response_followed = 620
    source_lost = 621
    source_regained = 622
    source_history_lost = 623
    record_unreadable = 624
    fleet_learned = 625
    peer_unanswered = 626
    source_restored = 627
    settings_read = 631
    log_lines_dropped = 632
    target_limited = 633
    target_limit_ended = 634
    target_leaving = 635
    target_backoff = 636
    parts_quarantined = 641
    parts_released = 642
