Feature: Planned stops

  Scenario: an agent is stopped while callers use it
    Given a fleet for stops with 2 engines and 2 entries
    When 24 callers stream answers through every entry
    And the agent of the first engine gets 1 stop signal while it streams
    Then that process ends with exit code 0
    And no caller was cut

  Scenario: an entry is stopped while callers use it
    Given a fleet for stops with 2 engines and 2 entries
    When 24 callers stream answers through every entry
    And the first entry gets 1 stop signal while it streams
    Then its health check fails while it still answers a new caller
    And that process ends with exit code 0
    And no caller was cut

  Scenario: a second signal ends an agent at once with honest refusals
    Given a fleet for stops with 1 engines and 1 entries
    And the engine runs one request at a time
    When 2 callers want whole answers within 6000 ms, the first one running
    And the agent of the first engine gets 2 stop signals while it streams
    Then that process ends with exit code 0
    And the running caller learns that the outcome is unknown and the queued one that it did not run
    And the engine executed 1 request

  Scenario: a second signal ends an entry at once with honest refusals
    Given a fleet for stops with 1 engines and 1 entries
    And the engine runs one request at a time
    When 2 callers want whole answers within 60000 ms, the first one running
    And the first entry gets 2 stop signals while it streams
    Then that process ends with exit code 0
    And every caller was told that the entry is stopping
