Feature: Drained availability zones and leaving instances

  Scenario: a drained agent refuses queued attempts and finishes running ones
    Given an agent that runs one attempt and queues two
    When its availability zone is drained
    Then the queued attempts are refused as not run for target_draining
    And the running attempt completes its response
    And a new attempt is refused as not run for target_draining
    When its availability zone is no longer drained
    Then a new attempt is accepted

  Scenario: an instance that the platform lists as leaving takes no new work
    Given an agent that runs one attempt and queues two
    When the platform lists its instance as leaving
    Then the queued attempts are refused as not run for target_draining

  Scenario: an instance missing from the list of leaving ones stays in use
    Given an agent that runs one attempt and queues two
    When the platform lists no instance as leaving
    Then a new attempt is accepted

  Scenario: a zone is drained while one entry is paused
    Given a fleet with 3 engines, 1 plain service and 2 entries
    When 12 callers stream completions of 1000 tokens through every entry
    And zone-1 is drained while entry-1 is paused
    And 12 callers stream completions of 1000 tokens through every entry
    Then every caller has a whole answer
    And engine-1 has started no request since it was drained
    When zone-1 is returned
    And 24 callers stream completions of 1000 tokens through every entry
    Then every caller has a whole answer
    And engine-1 has started requests since it was returned
