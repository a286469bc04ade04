Feature: Callers that read slowly

  Scenario: callers that read nothing hold at most their window and end at their deadline
    Given a fleet with stream windows of 8192 bytes and a time limit of 8000 ms
    When 50 callers ask for a stream of 400000 bytes and read nothing
    Then each process holds no more than 50 windows and frames
    And a caller that reads gets a complete response meanwhile
    And after the deadline no process and no kernel buffer holds data for them
    And no idle reader received a stream that looks complete
