Feature: Drained availability zones and leaving instances

  Scenario: a drained agent refuses what waits and finishes what runs
    Given an agent that runs one attempt and queues two
    When its availability zone is drained
    Then the queued attempts are refused as not run for target_draining
    And the running attempt ends with its whole answer
    And a new attempt is refused as not run for target_draining
    When its availability zone is no longer drained
    Then a new attempt is accepted

  Scenario: an instance that the platform lists as leaving takes no new work
    Given an agent that runs one attempt and queues two
    When the platform lists its instance as leaving
    Then the queued attempts are refused as not run for target_draining

  Scenario: an instance that the list lacks stays in use
    Given an agent that runs one attempt and queues two
    When the platform lists no instance at all
    Then a new attempt is accepted

  Scenario: a zone is drained while one entry has not heard
    Given a fleet with 3 engines, 1 plain service and 2 entries
    When 12 callers stream completions of 1000 tokens through every entry
    And zone-1 is drained while entry-1 is frozen
    And 12 callers stream completions of 1000 tokens through every entry
    Then every caller has a whole answer
    And engine-1 has started nothing since it was drained
    When zone-1 is returned
    And 24 callers stream completions of 1000 tokens through every entry
    Then every caller has a whole answer
    And engine-1 has started something since it was returned
