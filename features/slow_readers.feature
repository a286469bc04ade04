Feature: Callers that read slowly

  Scenario: idle readers hold no more than their window and end at their deadline
    Given a fleet with windows of 8192 bytes and a limit of 8000 ms
    When 50 callers ask for a stream of 400000 bytes and read nothing
    Then each process holds no more than 50 windows and frames
    And a caller that reads gets its whole answer meanwhile
    And after the deadline no process and no kernel holds anything for them
    And no idle reader was given a stream that looks whole
