Feature: Planned stops

  Scenario: an agent is stopped while callers use it
    Given a fleet for stops with 2 engines and 2 entries
    When 24 callers stream responses through every entry
    And the agent of the first engine gets SIGTERM while it streams
    Then that process ends with exit code 0
    And no response was truncated

  Scenario: an entry is stopped while callers use it
    Given a fleet for stops with 2 engines and 2 entries
    When 24 callers stream responses through every entry
    And the first entry gets SIGTERM while it streams
    Then its readiness check fails while it still serves a new caller
    And that process ends with exit code 0
    And no response was truncated

  Scenario: a second SIGTERM cuts off the streams of an agent
    Given a fleet for stops with 2 engines and 2 entries
    When 24 callers stream responses through every entry
    And the agent of the first engine gets SIGTERM SIGTERM while it streams
    Then that process ends with exit code 0
    And no response was truncated

  Scenario: a second SIGTERM cuts off the streams of an entry
    Given a fleet for stops with 2 engines and 2 entries
    When 24 callers stream responses through every entry
    And the first entry gets SIGTERM SIGTERM while it streams
    Then its readiness check fails while it still serves a new caller
    And that process ends with exit code 0
    And no response was truncated

  Scenario: SIGINT ends an agent that stops without accurate refusals
    Given a fleet for stops with 1 engines and 1 entries
    And the engine runs one request at a time
    When 2 callers request unstreamed responses within 6000 ms, the first one running
    And the agent of the first engine gets SIGTERM SIGINT while it streams
    Then that process ends with exit code 0
    And the running request is refused as outcome_unknown and the queued one as not_run
    And the engine executed 1 request

  Scenario: SIGINT ends an entry that stops without accurate refusals
    Given a fleet for stops with 1 engines and 1 entries
    And the engine runs one request at a time
    When 2 callers request unstreamed responses within 60000 ms, the first one running
    And the first entry gets SIGTERM SIGINT while it streams
    Then that process ends with exit code 0
    And every request is refused as entry_stopping
