Feature: Process and network faults, checked end to end

  Scenario Outline: callers get accurate outcomes while <faults>
    Given a fleet for faults with a relay before each agent
    When 48 bookings and 16 streams run with seed <seed> while <faults>
    Then no request is lost, executed twice, truncated without an error or refused with a wrong outcome
    And each caller has an answer within 5 s after its time limit
    And no process holds a request, an attempt or memory any more

    Examples:
      | seed | faults                                          |
      | 1    | an agent is killed                              |
      | 2    | an agent is paused                              |
      | 3    | an engine is paused                             |
      | 4    | a path is cut                                   |
      | 5    | a path is stalled and the platform is killed    |
      | 6    | an agent is paused and an engine is killed      |
