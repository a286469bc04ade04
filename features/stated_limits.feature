Feature: Limits that targets state in their responses

  Scenario: a target gets no more requests than the limit that it states
    Given an entry before 1 app servers and 3 llm servers
    And llm server 1 states "Server-Limit: 1.0"
    When 8 callers stream for 7 seconds
    Then llm server 1 got at most 11 requests in any 4 seconds
    And every stream was answered 200

  Scenario: callers are told at once when every target is at its limit
    Given an entry before 1 app servers and 1 llm servers
    And llm server 1 states "Server-Limit: 1.0"
    When 4 callers stream for 5 seconds
    Then llm server 1 got at most 11 requests in any 4 seconds
    And each stream was answered 200 or refused within 0.3 seconds as "target_limited"
    And the refusals name different times to return, 5 seconds at most

  Scenario: a limit ends with the first response without it
    Given an entry before 1 app servers and 1 llm servers
    And llm server 1 states "Server-Limit: 1.0"
    When 4 callers stream for 2 seconds
    And llm server 1 states nothing
    And 4 callers stream for 4 seconds
    Then llm server 1 got more than 30 requests in the last second
