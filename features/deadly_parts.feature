Feature: Prompt parts that crash the engines that answer them

  Scenario: a connection that a target closed is logged with the parts of the prompt
    Given an entry before 1 app servers and 2 llm servers
    And the next llm servers do: reset cut
    When a caller streams /stream/1 with the prompt parts a1:40,b2:300,c3:90
    Then 2 lost connections are logged with the shared parts a1 and b2
    And the first one had no head, the second one had events
    And the metric "attempts" counts 2 under "connection_lost"

  Scenario: requests with a part that crashes targets stop reaching them
    Given two entries before 6 llm servers that part dead crashes
    When 12 callers stream with the part dead among sound ones with the same first part
    Then at most 8 requests with the part dead reached the servers
    And the last 4 of them were refused with 503 and reason prompt_quarantined
    And each sound caller got its whole stream
