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

  Scenario: requests while no limit was stated do not count against a later limit
    Given an entry before 1 app servers and 1 llm servers
    And llm server 1 states "Server-Limit: 1.0"
    When 4 callers stream for 1 seconds
    And llm server 1 states nothing
    And 4 callers stream for 3 seconds
    And llm server 1 states "Server-Limit: 4.0"
    And 4 callers stream for 2 seconds
    Then llm server 1 got more than 2 requests in the last second

  Scenario Outline: a fleet of any size keeps to the limits that targets state
    Given <count> entries before <targets> targets that state <limit> requests a second
    When they send as fast as allowed for 20 seconds while entries <faults>
    Then no target gets more in 4 seconds than one and a half times its limit and 5 requests
    And the targets get at least <least> of their limits on average

    Examples:
      | count | targets | limit | faults                              | least |
      | 3     | 5       | 1.0   | stay as they are                    | 0.9   |
      | 3     | 5       | 1.0   | come, go, freeze and are cut off    | 0.5   |
      | 3     | 5       | 20.0  | come, go, freeze and are cut off    | 0.5   |
      | 68    | 20      | 1.0   | stay as they are                    | 0.9   |
      | 68    | 20      | 1.0   | come, go, freeze and are cut off    | 0.5   |
      | 68    | 20      | 0.0   | come, go, freeze and are cut off    | 0.0   |
      | 68    | 10      | 50.0  | come, go, freeze and are cut off    | 0.5   |
      | 1100  | 1       | 1.0   | come, go, freeze and are cut off    | 0.5   |
      | 1100  | 1       | 30.0  | stay as they are                    | 0.8   |

  Scenario: without a choice of entries a large fleet exceeds the limits
    Given 68 entries before 3 targets that state 1.0 requests a second
    And each entry uses every target
    When they send as fast as allowed for 20 seconds while entries stay as they are
    Then some target gets more in 4 seconds than one and a half times its limit and 5 requests

  Scenario Outline: a limit that cannot be read is ignored and counted
    Given an entry before 1 app servers and 1 llm servers
    And llm server 1 states "Server-Limit: 1.0"
    When 1 callers stream for 1 seconds
    And llm server 1 states "<line>"
    And 4 callers stream for 5 seconds
    Then llm server 1 got at most <most> requests in any 4 seconds
    And the entry counted <count> malformed limits

    Examples:
      | line                                  | most | count |
      | Server-Limit: -1                      | 11   | some  |
      | Server-Limit: nan                     | 11   | some  |
      | Server-Limit: 1e308                   | 11   | some  |
      | Server-Limit: 1, 2                    | 11   | some  |
      | Server-Limit:                         | 11   | some  |
      | Server-Limit: 1.0 / Server-Limit: 9.0 | 11   | some  |
      | Server-Limit: 0                       | 5    | no    |

  Scenario: an address that is used again owes nothing of an earlier start
    Given an entry before 1 app servers and 1 llm servers
    And llm server 1 states "Server-Limit: 1.0"
    When 4 callers stream for 2 seconds
    And llm server 1 starts again and states nothing
    And 4 callers stream for 3 seconds
    Then llm server 1 got more than 30 requests in the last second

  Scenario: other entries hear of limits and of their ends
    Given 3 entries that exchange hints before 1 limited target
    When the first entry hears of a limit
    Then every entry knows the limit
    When the second entry hears that it ended
    Then no entry knows a limit
