Feature: End-to-end requests through separate processes

  Scenario: callers of engines and plain services get complete responses
    Given a fleet with 3 engines, 1 plain service and 2 entries
    When 12 callers stream completions of 1000 tokens through every entry
    And 6 callers book lots through every entry
    Then every caller has a whole answer
    And every lot was booked exactly once

  Scenario: an agent dies while callers wait
    Given a fleet with 3 engines, 1 plain service and 2 entries
    When 12 callers stream completions of 20000 tokens and an agent is killed
    Then no caller has a truncated response without an error
    And every caller has a response or a refusal

  Scenario: the disconnect of a caller releases its memory at the engine
    Given a fleet with 1 engines, 1 plain service and 1 entries
    When a caller disconnects in the middle of a stream
    Then the engine holds no tokens
    And the agent holds no reservations
