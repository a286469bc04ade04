Feature: Faults of whole processes and paths, checked from outside

  Scenario Outline: callers learn the truth while <faults>
    Given a fleet for faults with a relay before each agent
    When 48 bookings and 16 streams run with seed <seed> while <faults>
    Then no request is lost, doubled, cut without an error or refused untruly
    And each caller was answered within its time and 5 s
    And nothing is held any more

    Examples:
      | seed | faults                                          |
      | 1    | an agent is killed                              |
      | 2    | an agent is paused                              |
      | 3    | an engine is paused                             |
      | 4    | a path is cut                                   |
      | 5    | a path is stalled and the platform is killed    |
      | 6    | an agent is paused and an engine is killed      |
