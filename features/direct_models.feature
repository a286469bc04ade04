Feature: Models of resources that entries share without coordination

  Scenario: reserved memory is freed in every state
    When the specification of tickets is explored
    Then it holds in every state

  Scenario Outline: without one rule, reservations leak memory or cut a request
    When the specification of tickets is explored without "<guard>"
    Then the checker finds a counterexample

    Examples:
      | guard           |
      | has_short_lease |
      | renews          |
      | repeats_release |
      | detects_silence |

  Scenario: uncoordinated entries do not overload a cold target
    When the specification of shares is explored
    Then it holds in every state

  Scenario Outline: without one rule, the entries overload a cold target
    When the specification of shares is explored without "<guard>"
    Then the checker finds a counterexample

    Examples:
      | guard           |
      | divides         |
      | restarts_slowly |
      | remembers       |

  Scenario: the implemented limit holds for the entries of the largest fleet
    When 32 entries send as fast as allowed to a target limited to 44 requests a second
    Then no second has more than 44 requests
    And each entry sent at least 4 requests in 5 seconds

  Scenario Outline: a cold target gets no more than it bears in a fleet of any size
    Given <count> entries that <view>
    When they send as fast as allowed to <targets> cold targets limited to 26 requests a second
    Then no target gets more than 26 requests in a second
    And the targets get at least <least> requests a second on average

    Examples:
      | count | view                                                     | targets | least |
      | 5     | know each other                                          | 20      | 4     |
      | 31    | know each other                                          | 20      | 12    |
      | 68    | know each other                                          | 20      | 12    |
      | 79    | know each other                                          | 20      | 12    |
      | 300   | know each other                                          | 20      | 12    |
      | 1100  | know each other                                          | 5       | 12    |
      | 68    | know each other, but two zones of five cannot hear each other | 60 | 12    |
      | 68    | know each other, but 12 of them have heard nobody for 30 seconds | 20 | 12 |
      | 68    | have all just started                                    | 20      | 4     |
      | 68    | know each other, but 24 of them have just started        | 20      | 12    |

  Scenario: without a choice of entries a large fleet overloads a cold target
    Given 68 entries that use every cold target
    When they send as fast as allowed to 1 cold targets limited to 26 requests a second
    Then some target gets more than 26 requests in a second

  Scenario: every entry hears of every other in a large fleet
    Given 79 entries that exchange hints for 4 seconds
    Then each has heard all others

  Scenario: the implemented budget keeps retries within the published ratio
    When entries with 1000 requests in 30 seconds retry as often as allowed
    Then no window of 10 seconds has more retries than a fifth of its requests and 3 an entry
